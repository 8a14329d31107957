# Sixteen dispatchers for ten minutes, with faults drawn by seed while requests run. The long proof; docs/measurements/membership.md has
# what it found.
title       = "a view of the fleet"
base        = "base/two-classes.hcl"
duration    = "10m"
rate        = 60
callers     = 96
dispatchers = 16

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
