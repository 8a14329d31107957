# A partition of two and a half minutes, in which each side forgets that the library ever reached the other: they meet again all the same.
title       = "a long partition"
base        = "base/two-classes.hcl"
duration    = "180s"
rate        = 30
callers     = 48
dispatchers = 5

workers "old-box" {
  count = 6
  slots = 16
}

event "cut" {
  at = 5
  groups = [["n1", "n2"], ["n3", "n4", "n5"]]
}
event "heal" {
  at = 155
}

promises {
  connections_closed = 400
  crossed_closes     = 60
  refused            = 60
  failed             = 20
}
