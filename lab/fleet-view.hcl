# Sixteen dispatchers for ten minutes, with faults drawn by seed while requests run and workers are replaced one after the other, so that some are
# cold through every kind of fault. The long proof; docs/measurements/membership.md has what it found.
title       = "a view of the fleet"
base        = "base/slow-classes.hcl"
duration    = "10m"
rate        = 200
callers     = 240
dispatchers = 16

workers "old-box" {
  count = 10
  slots = 4
}

faults {
  from_s  = 20
  every_s = 8
  until_s = 570
  renew_s = 13
}

promises {
  connections_closed = 20000
  crossed_closes     = 4000
  refused            = 4000
  failed             = 1500
}
