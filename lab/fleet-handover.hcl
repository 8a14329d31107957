# Hand-overs in the middle of what lab/fleet-hard.hcl plays without one: of the member that a newcomer joins by while that newcomer crashes, and of
# the newcomer itself as it joins; while news of another member's leave, start and crash cross; of a process that gets a tenth of its core; of
# one that is stopped in the middle; and of one whose fleet is killed whole, new process and all, and starts at once.
title       = "hand-overs in the middle of faults"
base        = "base/two-classes.hcl"
duration    = "132s"
rate        = 40
callers     = 60
dispatchers = 5

workers "old-box" {
  count = 6
  slots = 16
}

# n1 is a seed. n3 joins by it and dies within a moment, n1 hands over meanwhile.
event "kill" {
  at = 5
  dispatcher = "n3"
}
event "upgrade" {
  at = 8
  dispatcher = "n1"
}
event "start" {
  at = 8.2
  dispatcher = "n3"
}
event "kill" {
  at = 8.3
  dispatcher = "n3"
}
# It joins again, and hands over as it does.
event "start" {
  at = 11
  dispatcher = "n3"
}
event "upgrade" {
  at = 11.05
  dispatcher = "n3"
}
# News of n5 that cross, up to half a second late and twice; n2 hands over in the middle of them, and n5 does as soon as it is back.
event "links" {
  at = 18
  delay_ms = 10
  jitter_ms = 500
  twice = 0.3
}
event "leave" {
  at = 19
  dispatcher = "n5"
}
event "upgrade" {
  at = 21
  dispatcher = "n2"
}
event "start" {
  at = 22.5
  dispatcher = "n5"
}
event "kill" {
  at = 22.8
  dispatcher = "n5"
}
event "start" {
  at = 23.3
  dispatcher = "n5"
}
event "upgrade" {
  at = 23.4
  dispatcher = "n5"
}
event "heal" {
  at = 28
}
# Both processes of a hand-over get a tenth of their core. It may take longer than it has, and falls back then.
event "starve" {
  at = 36
  dispatcher = "n4"
  for_s = 12
}
event "upgrade" {
  at = 37
  dispatcher = "n4"
  expect = "either"
}
# Stopped in the middle of it.
event "upgrade" {
  at = 58
  dispatcher = "n2"
  expect = "either"
}
event "pause" {
  at = 58.6
  dispatcher = "n2"
  for_s = 3
}
# All are killed while two hand over, and start at once.
event "upgrade" {
  at = 74
  dispatcher = "n1"
  expect = "killed"
}
event "upgrade" {
  at = 74
  dispatcher = "n4"
  expect = "killed"
}
event "kill" {
  at = 74.7
  dispatcher = "n1"
}
event "kill" {
  at = 74.7
  dispatcher = "n2"
}
event "kill" {
  at = 74.7
  dispatcher = "n3"
}
event "kill" {
  at = 74.7
  dispatcher = "n4"
}
event "kill" {
  at = 74.7
  dispatcher = "n5"
}
event "start" {
  at = 77
  dispatcher = "n1"
}
event "start" {
  at = 77
  dispatcher = "n2"
}
event "start" {
  at = 77
  dispatcher = "n3"
}
event "start" {
  at = 77
  dispatcher = "n4"
}
event "start" {
  at = 77
  dispatcher = "n5"
}
event "upgrade" {
  at = 90
  dispatcher = "n4"
}

# A member flaps while two others hand over, and one is alone against four while both sides hand over.
event "bounce" {
  at = 98
  dispatcher = "n3"
}
event "bounce" {
  at = 100
  dispatcher = "n3"
}
event "upgrade" {
  at = 100.5
  dispatcher = "n1"
}
event "upgrade" {
  at = 101
  dispatcher = "n5"
}
event "bounce" {
  at = 102
  dispatcher = "n3"
}
event "bounce" {
  at = 104
  dispatcher = "n3"
}
event "cut" {
  at = 110
  groups = [["n2"], ["n1", "n3", "n4", "n5"]]
}
event "upgrade" {
  at = 111
  dispatcher = "n2"
}
event "upgrade" {
  at = 111.5
  dispatcher = "n4"
}
event "heal" {
  at = 118
}

# While nobody runs, nobody answers.
promises {
  lost               = 150
  connections_closed = 2000
  crossed_closes     = 200
  refused            = 400
  failed             = 100
}
