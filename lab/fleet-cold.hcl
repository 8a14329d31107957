# Workers that start cold while a fleet doubles behind a partition: four dispatchers of eight end, the four that are left are parted two and two,
# each side gets two more, and a third of the workers is replaced meanwhile; later a partition moves while others are. A cold worker that all
# dispatchers together send more than three times what it can do falls over, and the run says how near each came to that.
title       = "cold workers under partition"
base        = "base/slow-classes.hcl"
duration    = "95s"
rate        = 280
callers     = 240
dispatchers = 8

workers "old-box" {
  count = 10
  slots = 4
}

event "leave" {
  at = 6
  dispatcher = "n5"
}
event "leave" {
  at = 6
  dispatcher = "n6"
}
event "leave" {
  at = 6
  dispatcher = "n7"
}
event "leave" {
  at = 6
  dispatcher = "n8"
}
event "cut" {
  at = 20
  groups = [["n1", "n3", "n5", "n6"], ["n2", "n4", "n7", "n8"]]
}
event "start" {
  at = 24
  dispatcher = "n5"
}
event "start" {
  at = 24
  dispatcher = "n6"
}
event "start" {
  at = 24
  dispatcher = "n7"
}
event "start" {
  at = 24
  dispatcher = "n8"
}
# The doubled fleet, of which each side sees half.
event "renew" {
  at = 24.5
  worker = "s-old-box-0"
}
event "renew" {
  at = 24.5
  worker = "s-old-box-1"
}
event "renew" {
  at = 24.5
  worker = "s-old-box-2"
}
event "heal" {
  at = 44
}
event "cut" {
  at = 54
  groups = [["n1"], ["n2", "n3", "n4", "n5", "n6", "n7", "n8"]]
}
event "renew" {
  at = 55
  worker = "s-old-box-3"
}
event "renew" {
  at = 55
  worker = "s-old-box-4"
}
event "renew" {
  at = 55
  worker = "s-old-box-5"
}
event "cut" {
  at = 59
  groups = [["n1", "n3", "n5"], ["n2", "n4", "n6", "n7", "n8"]]
}
event "heal" {
  at = 72
}

promises {
  connections_closed = 2000
  crossed_closes     = 200
  refused            = 2000
  failed             = 600
}
