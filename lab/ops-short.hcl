# A day of staff's work under 400 requests a second: figures, workers out by hand, callers sent away, and processes replaced
# by others that the platform starts beside them, good and bad ones. CI runs this.
title    = "operations, short"
base        = "base/three-classes.hcl"
duration = "30s"
rate     = 400
callers  = 120
platform = true

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
# Before any change of process the figures are the day's.
event "figures" {
  at = 3
}
event "ban" {
  at = 3.5
  worker = "s-old-box-2"
}
event "ban" {
  at = 3.6
  worker = "s-old-box-2"
}
event "figures" {
  at = 6
}
# A ban outlives the process, a drain of discovery's beside it, and a return that discovery tells.
event "replace" {
  at = 7
}
event "drain" {
  at = 8
  worker = "s-new-blade-1"
}
event "replace" {
  at = 9
  binary = "dies-on-parcel"
}
event "replace" {
  at = 10.5
  binary = "stalls-on-parcel"
}
event "replace" {
  at = 12
  binary = "dies-before-acting"
}
event "replace" {
  at = 13.5
  binary = "other-protocol"
}
event "replace" {
  at = 15
  binary = "silent-after-hello"
}
event "reload" {
  at = 16.5
}
event "replace" {
  at = 16.6
}
event "unban" {
  at = 18
  worker = "s-old-box-2"
}
event "return" {
  at = 18.5
  worker = "s-new-blade-1"
}
# A drain is begun by one process and ended by the next.
event "away" {
  at = 20
}
event "replace" {
  at = 23
}
event "stay" {
  at = 24
}
event "replace" {
  at = 27
}

# The front sends callers elsewhere in a drain, and their connections are closed on purpose.
promises { connections_closed = 400 }
