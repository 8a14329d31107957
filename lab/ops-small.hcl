# Processes replaced by others beside them where a small machine must do for both: 32 MB and 256 descriptors together.
title    = "replacements on a small machine"
duration = "24s"
rate     = 300
callers  = 100
platform = true
limits {
  memory_mb = 32
  sockets   = 256
}

class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  late_worth = 0.4
  work_ms    = 25
  spread     = 0.5
  body_bytes = 200
}
class "save-quote" {
  part       = 3
  effect     = "deduplicated"
  aim_ms     = 300
  deadline_s = 3
  worth      = 2
  late_worth = 0.4
  work_ms    = 40
  spread     = 0.4
  body_bytes = 3000
}
class "issue-policy" {
  part         = 1
  effect       = "at_most_once"
  aim_ms       = 800
  deadline_s   = 4
  worth        = 8
  work_ms      = 150
  spread       = 0.6
  body_bytes   = 900
  result_bytes = 60000
}
workers "old-box" {
  count = 6
  slots = 16
}
workers "new-blade" {
  count = 6
  slots = 16
  pace  = 2
}
habits {
  leave    = 0.01
  split    = 0.04
  pipeline = 0.02
  slow     = 0.02
}
event "replace" { at = 3 }
event "replace" { at = 6 }
event "replace" { at = 9 }
event "replace" { at = 12 }
event "replace" { at = 15 }
event "replace" { at = 18 }
event "replace" { at = 21 }

# Kept connections are closed before each hand-over, so that both processes can hold all of them.
promises {
  connections_closed = 700
  crossed_closes     = 14 # two a replacement
}
