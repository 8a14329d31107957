# A fleet parted in two, each side with a discovery of its own, which tell two contents under one number; one member hears of neither by its own until the
# sides have met again. All name the number and both origins, nobody begins to act on it who does not yet, drains of both sides are kept
# to, and a number that both tell alike ends it. Later one discovery is cut off for longer than a peer's word counts by itself, and then all are restarted, their numbers at 1.
title       = "two discoveries, one number"
base        = "base/two-classes.hcl"
duration    = "112s"
rate        = 100
callers     = 60
dispatchers = 5
audit       = true

workers "old-box" {
  count = 8
  slots = 16
}

event "late" {
  at = 4
  dispatcher = "n5"
  for_s = 14
}
event "cut" {
  at = 5
  groups = [["n1", "n2"], ["n3", "n4", "n5"]]
}
event "drain" {
  at = 6
  worker = "s-old-box-0"
  groups = [["n1", "n2"]]
}
event "drain" {
  at = 6.2
  worker = "s-old-box-1"
  groups = [["n3", "n4", "n5"]]
}
event "heal" {
  at = 11
}
# n5 hears at 18 what its discovery told at 6.2, and holds by it only that a worker drains.
event "return" {
  at = 24
  worker = "s-old-box-0"
  groups = [["n1", "n2"]]
}
event "drain" {
  at = 24
  worker = "s-old-box-0"
  groups = [["n3", "n4", "n5"]]
}
event "return" {
  at = 25
  worker = "s-old-box-0"
  groups = [["n3", "n4", "n5"]]
}
event "drain" {
  at = 25
  worker = "s-old-box-1"
  groups = [["n1", "n2"]]
}
event "return" {
  at = 27
  worker = "s-old-box-1"
}
# Cut off from its discovery for 45 s; a worker drains, and does not come back.
event "late" {
  at = 34
  dispatcher = "n2"
  for_s = 45
}
event "drain" {
  at = 36
  worker = "s-old-box-3"
}
event "return" {
  at = 82
  worker = "s-old-box-3"
}
# Discovery is restarted and numbers from 1 on. What was drained under a higher number before is no drain any more; a new one is.
event "drain" {
  at = 86
  worker = "s-old-box-4"
}
event "return" {
  at = 88
  worker = "s-old-box-4"
}
event "anew" {
  at = 90
}
event "upgrade" {
  at = 91
  dispatcher = "n3"
}
event "drain" {
  at = 94
  worker = "s-old-box-5"
}
event "return" {
  at = 100
  worker = "s-old-box-5"
}

promises {
  connections_closed = 400
  crossed_closes     = 60
  refused            = 60
  failed             = 20
}
