# Floors and leases on a fixed schedule: one member is cut off with its old configuration while a floor is told and another is being upgraded, one
# stands still for longer than its lease while the next is told, and one that starts again has forgotten both. Whatever they were told, nobody
# sends below a floor after its bound, and all act again once they are up to it. CI runs this.
title       = "floors and leases, short"
base        = "base/two-classes.hcl"
duration    = "38s"
rate        = 100
callers     = 60
dispatchers = 5
audit       = true
lease       = "3s"

workers "old-box" {
  count = 6
  slots = 16
}

event "cut" {
  at = 4
  groups = [["n5"], ["n1", "n2", "n3", "n4"]]
}
event "config" {
  at = 5
  dispatcher = "n1"
  version = 2
}
event "config" {
  at = 5
  dispatcher = "n2"
  version = 2
}
event "config" {
  at = 5
  dispatcher = "n3"
  version = 2
}
event "config" {
  at = 5
  dispatcher = "n4"
  version = 2
}
event "upgrade" {
  at = 6
  dispatcher = "n4"
}
# Told during the upgrade; n5 does not hear of it, and ends by its lease.
event "floor" {
  at = 7.2
  dispatcher = "n1"
  version = 2
}
event "heal" {
  at = 14
}
# It stands still below the next floor, and wakes after its lease.
event "pause" {
  at = 18
  dispatcher = "n3"
  for_s = 7
}
event "config" {
  at = 19
  dispatcher = "n1"
  version = 3
}
event "config" {
  at = 19
  dispatcher = "n2"
  version = 3
}
event "config" {
  at = 19
  dispatcher = "n4"
  version = 3
}
event "config" {
  at = 19
  dispatcher = "n5"
  version = 3
}
event "floor" {
  at = 20
  dispatcher = "n2"
  version = 3
}
event "bounce" {
  at = 28
  dispatcher = "n5"
}
# One that nobody is up to, the teller too.
event "floor" {
  at = 31
  dispatcher = "n1"
  version = 4
}
event "config" {
  at = 34
  dispatcher = "n2"
  version = 4
}

# Members that are shut out answer busy, and the front leads callers to them all the same.
promises {
  connections_closed = 400
  crossed_closes     = 60
  refused            = 1500
  failed             = 40
}
