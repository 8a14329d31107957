# Sixteen dispatchers for ten minutes, with faults drawn by seed while requests run. The long proof; docs/measurements/membership.md has
# what it found.
title       = "a view of the fleet"
duration    = "10m"
rate        = 60
callers     = 96
dispatchers = 16

class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  late_worth = 0.4
  work_ms    = 20
  spread     = 0.5
  body_bytes = 200
}
class "issue-policy" {
  part         = 1
  effect       = "at_most_once"
  aim_ms       = 800
  deadline_s   = 4
  worth        = 8
  work_ms      = 60
  spread       = 0.6
  body_bytes   = 900
}
workers "old-box" {
  count = 6
  slots = 16
}

faults {
  from_s  = 20
  every_s = 8
  until_s = 570
}

promises {
  connections_closed = 10000
  crossed_closes     = 2000
  refused            = 2000
  failed             = 600
}
