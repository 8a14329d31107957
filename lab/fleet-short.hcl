# A fleet of five dispatchers that keep a view of themselves, and faults between them on a fixed schedule: a partition, a crash, a
# restart within a second under disordered news, a pause, an upgrade, a leave. CI runs this.
title       = "a view of the fleet, short"
base        = "base/two-classes.hcl"
duration    = "36s"
rate        = 60
callers     = 60
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
  at = 9
}
# Pairs that don't meet, though both reach the others, and a process that is replaced meanwhile.
event "apart" {
  at = 13
  groups = [["n1", "n4"]]
}
event "upgrade" {
  at = 14
  dispatcher = "n1"
}
event "heal" {
  at = 17.5
}
event "kill" {
  at = 18.5
  dispatcher = "n2"
}
event "start" {
  at = 21.5
  dispatcher = "n2"
}
# A start within a second of a crash, while news come late, twice and in another order.
event "links" {
  at = 23.5
  delay_ms = 10
  jitter_ms = 200
  twice = 0.3
}
event "bounce" {
  at = 24
  dispatcher = "n3"
}
event "heal" {
  at = 26.5
}
event "pause" {
  at = 27
  dispatcher = "n5"
  for_s = 1.5
}
event "leave" {
  at = 31.5
  dispatcher = "n4"
}

# What was open at a dispatcher that is killed or stopped is not held against it; the front deals its callers out anew. A dispatcher that
# starts knows no worker yet, and may turn away or give up what comes in its first moments.
promises {
  connections_closed = 400
  crossed_closes     = 60
  refused            = 60
  failed             = 20
}
