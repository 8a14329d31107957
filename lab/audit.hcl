# Eight dispatchers with leases for ten minutes, with faults drawn by seed, workers that drain, discoveries that are late, configurations that
# change every few seconds and reach one member late, and floors told about them. At the end every record is verified, held against what reached
# the workers, and searched for sends below a floor after its bound. The long proof.
title       = "an audit of the fleet"
base        = "base/two-classes.hcl"
duration    = "10m"
rate        = 300
callers     = 240
dispatchers = 8
audit       = true
lease       = "4s"

workers "old-box" {
  count = 10
  slots = 16
}

faults {
  from_s  = 20
  every_s = 6
  until_s = 570
}

# A member that is shut out answers busy, and its callers are not led elsewhere: the front knows nothing of it.
promises {
  connections_closed = 20000
  crossed_closes     = 4000
  refused            = 40000
  failed             = 2000
}
