# Four good upgrades and every kind of bad start under 400 requests a second, with callers out of the usual, a drain told
# during an upgrade and reloads beside them. CI runs this.
title    = "upgrades under load, short"
base        = "base/three-classes.hcl"
duration = "34s"
rate     = 400
callers  = 160
operator = "start_within = \"1s\"\nprobation = \"500ms\""

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
  at = 1
  binary = "good"
}
event "upgrade" {
  at = 2.5
  binary = "missing"
}
event "upgrade" {
  at = 4
  binary = "not-a-program"
}
event "upgrade" {
  at = 5.5
  binary = "exits"
}
event "upgrade" {
  at = 7
  binary = "no-configuration"
}
event "upgrade" {
  at = 8.5
  binary = "other-protocol"
}
event "upgrade" {
  at = 10
  binary = "good"
}
event "upgrade" {
  at = 11.5
  binary = "other-schema"
}
event "upgrade" {
  at = 13
  binary = "garbage"
}
event "upgrade" {
  at = 14.5
  binary = "acts-unasked"
}
event "upgrade" {
  at = 16
  binary = "dies-soon"
}
event "upgrade" {
  at = 17.5
  binary = "dies-on-parcel"
}
event "upgrade" {
  at = 19
  binary = "good"
}
event "upgrade" {
  at = 20.5
  binary = "killed-in-transfer"
}
event "upgrade" {
  at = 22
  binary = "dies-before-acting"
}
event "upgrade" {
  at = 23.5
  binary = "hangs"
}
event "upgrade" {
  at = 25
  binary = "silent-after-hello"
}
event "upgrade" {
  at = 26.5
  binary = "stalls-on-parcel"
}
event "upgrade" {
  at = 28
  binary = "good"
}
# Told while the new process follows, and while a stalled one has everything held.
event "drain" {
  at     = 19.2
  worker = "s-old-box-2"
}
event "drain" {
  at     = 27.1
  worker = "s-new-blade-1"
}
event "return" {
  at     = 24
  worker = "s-old-box-2"
}
event "return" {
  at     = 30
  worker = "s-new-blade-1"
}
event "reload" { at = 10.2 }
event "reload" { at = 19.4 }
event "reload" { at = 27.05 }

promises {}
