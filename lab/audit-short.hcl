# Five dispatchers that keep records of what they acted on, and pass drains and configurations on to each other: each one's discovery is late
# by a script of its own, workers drain and return, a configuration reaches four of five, one's files are rolled back, processes are
# upgraded, killed and stopped. At the end the records are verified and held against what reached the workers. CI runs this.
title       = "an audit of the fleet, short"
base        = "base/two-classes.hcl"
duration    = "34s"
rate        = 100
callers     = 60
dispatchers = 5
audit       = true

workers "old-box" {
  count = 6
  slots = 16
}

event "late" {
  at = 3
  dispatcher = "n1"
  for_s = 6
}
event "late" {
  at = 3
  dispatcher = "n3"
  for_s = 7
}
event "drain" {
  at = 4
  worker = "s-old-box-0"
}
event "drain" {
  at = 5
  worker = "s-old-box-1"
}
event "upgrade" {
  at = 6
  dispatcher = "n3"
}
event "config" {
  at = 8
  dispatcher = "n1"
  version = 2
}
event "config" {
  at = 8
  dispatcher = "n2"
  version = 2
}
event "config" {
  at = 8
  dispatcher = "n3"
  version = 2
}
event "config" {
  at = 8
  dispatcher = "n4"
  version = 2
}
# It is back before two of the discoveries have told that it was gone.
event "return" {
  at = 8.5
  worker = "s-old-box-0"
}
event "return" {
  at = 11.5
  worker = "s-old-box-1"
}
# One that is cut off from the others keeps its own discovery.
event "cut" {
  at = 13
  groups = [["n2"], ["n1", "n3", "n4", "n5"]]
}
event "drain" {
  at = 14
  worker = "s-old-box-2"
}
event "return" {
  at = 16
  worker = "s-old-box-2"
}
event "heal" {
  at = 17
}
event "kill" {
  at = 19
  dispatcher = "n4"
}
event "start" {
  at = 21
  dispatcher = "n4"
}
event "late" {
  at = 23
  dispatcher = "n5"
  for_s = 6
}
event "late" {
  at = 23
  dispatcher = "n2"
  for_s = 6
}
event "drain" {
  at = 24
  worker = "s-old-box-3"
}
event "pause" {
  at = 25
  dispatcher = "n1"
  for_s = 0.5
}
# Its files go back behind what it has acted on.
event "rollback" {
  at = 27
  dispatcher = "n2"
  version = 1
}
event "return" {
  at = 30
  worker = "s-old-box-3"
}
event "leave" {
  at = 31
  dispatcher = "n5"
}

promises {
  connections_closed = 400
  crossed_closes     = 60
  refused            = 60
  failed             = 20
}
