# Twenty good upgrades and ten bad starts under 450 requests a second, with callers out of the usual, drains told and the
# configuration read again during some of them. A long proof, kept out of CI: docs/measurements/upgrade.md has its results.
title    = "twenty good upgrades and ten bad starts"
base        = "base/three-classes.hcl"
duration = "130s"
rate     = 450
callers  = 160
operator = "start_within = \"2s\""

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
event "upgrade" {
  at = 2
  binary = "good"
}
event "drain" {
  at = 3.4
  worker = "s-old-box-0"
}
event "return" {
  at = 11
  worker = "s-old-box-0"
}
event "upgrade" {
  at = 6.1
  binary = "good"
}
event "reload" {
  at = 7.1
}
event "upgrade" {
  at = 10.2
  binary = "missing"
}
event "upgrade" {
  at = 14.3
  binary = "good"
}
event "upgrade" {
  at = 18.4
  binary = "good"
}
event "reload" {
  at = 19.92
}
event "upgrade" {
  at = 22.5
  binary = "exits"
}
event "drain" {
  at = 23.9
  worker = "s-old-box-1"
}
event "return" {
  at = 31.5
  worker = "s-old-box-1"
}
event "upgrade" {
  at = 26.6
  binary = "good"
}
event "upgrade" {
  at = 30.7
  binary = "good"
}
event "upgrade" {
  at = 34.8
  binary = "dies-soon"
}
event "reload" {
  at = 35.8
}
event "upgrade" {
  at = 38.9
  binary = "good"
}
event "upgrade" {
  at = 43
  binary = "good"
}
event "drain" {
  at = 44.4
  worker = "s-old-box-2"
}
event "return" {
  at = 52
  worker = "s-old-box-2"
}
event "upgrade" {
  at = 47.1
  binary = "other-schema"
}
event "reload" {
  at = 48.62
}
event "upgrade" {
  at = 51.2
  binary = "good"
}
event "upgrade" {
  at = 55.3
  binary = "good"
}
event "upgrade" {
  at = 59.4
  binary = "garbage"
}
event "upgrade" {
  at = 63.5
  binary = "good"
}
event "drain" {
  at = 64.9
  worker = "s-old-box-3"
}
event "return" {
  at = 72.5
  worker = "s-old-box-3"
}
event "reload" {
  at = 64.5
}
event "upgrade" {
  at = 67.6
  binary = "good"
}
event "upgrade" {
  at = 71.7
  binary = "dies-on-parcel"
}
event "upgrade" {
  at = 75.8
  binary = "good"
}
event "reload" {
  at = 77.32
}
event "upgrade" {
  at = 79.9
  binary = "good"
}
event "upgrade" {
  at = 84
  binary = "killed-in-transfer"
}
event "drain" {
  at = 85.4
  worker = "s-old-box-4"
}
event "return" {
  at = 93
  worker = "s-old-box-4"
}
event "upgrade" {
  at = 88.1
  binary = "good"
}
event "upgrade" {
  at = 92.2
  binary = "good"
}
event "reload" {
  at = 93.2
}
event "upgrade" {
  at = 96.3
  binary = "dies-before-acting"
}
event "upgrade" {
  at = 100.4
  binary = "good"
}
event "upgrade" {
  at = 104.5
  binary = "good"
}
event "drain" {
  at = 105.9
  worker = "s-old-box-5"
}
event "return" {
  at = 113.5
  worker = "s-old-box-5"
}
event "reload" {
  at = 106.02
}
event "upgrade" {
  at = 108.6
  binary = "hangs"
}
event "upgrade" {
  at = 112.7
  binary = "good"
}
event "upgrade" {
  at = 116.8
  binary = "good"
}
event "upgrade" {
  at = 120.9
  binary = "stalls-on-parcel"
}
event "reload" {
  at = 121.9
}

promises {
  p99_factor  = 1.2
  p99_plus_ms = 5
}
