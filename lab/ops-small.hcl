# Processes replaced by others beside them where a small machine must do for both: 32 MB and 256 descriptors together.
title    = "replacements on a small machine"
base        = "base/three-classes.hcl"
duration = "24s"
rate     = 300
callers  = 100
platform = true
limits {
  memory_mb = 32
  sockets   = 256
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
