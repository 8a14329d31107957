# The hard cases of a fleet's view on a fixed schedule: partitions of every shape, one that outlasts the library's memory of the dead, one that
# moves before the view has settled, heavy loss, long pauses, a flapping member, upgrades in the middle of each, the whole fleet killed
# and started at once, words that get through one way only, a starved process, a trickle, a crash in the middle of joining, and news of one
# name that cross.
title       = "a view of the fleet, hard cases"
base        = "base/two-classes.hcl"
duration    = "342s"
rate        = 40
callers     = 60
dispatchers = 5

workers "old-box" {
  count = 6
  slots = 16
}

event "cut" {
  at = 8
  groups = [["n1", "n2"], ["n3", "n4", "n5"]]
}
event "upgrade" {
  at = 20
  dispatcher = "n1"
}
event "heal" {
  at = 56
}
# 2|2|1, and then another one before anybody has settled.
event "cut" {
  at = 70
  groups = [["n1", "n2"], ["n3", "n4"], ["n5"]]
}
event "cut" {
  at = 72
  groups = [["n1", "n3"], ["n2", "n4", "n5"]]
}
event "upgrade" {
  at = 74
  dispatcher = "n4"
}
event "heal" {
  at = 84
}
event "links" {
  at = 98
  loss = 0.3
  delay_ms = 5
  jitter_ms = 30
  twice = 0.1
}
event "upgrade" {
  at = 104
  dispatcher = "n2"
}
event "heal" {
  at = 118
}
# A minute stopped, and a crash meanwhile.
event "pause" {
  at = 122
  dispatcher = "n3"
  for_s = 60
}
event "upgrade" {
  at = 130
  dispatcher = "n2"
}
event "kill" {
  at = 140
  dispatcher = "n5"
}
event "start" {
  at = 150
  dispatcher = "n5"
}
# A member that flaps.
event "bounce" {
  at = 195
  dispatcher = "n4"
}
event "bounce" {
  at = 197
  dispatcher = "n4"
}
event "bounce" {
  at = 199
  dispatcher = "n4"
}
event "bounce" {
  at = 201
  dispatcher = "n4"
}
# All at once, and all again.
event "kill" {
  at = 215
  dispatcher = "n1"
}
event "kill" {
  at = 215
  dispatcher = "n2"
}
event "kill" {
  at = 215
  dispatcher = "n3"
}
event "kill" {
  at = 215
  dispatcher = "n4"
}
event "kill" {
  at = 215
  dispatcher = "n5"
}
event "start" {
  at = 217
  dispatcher = "n1"
}
event "start" {
  at = 217
  dispatcher = "n2"
}
event "start" {
  at = 217
  dispatcher = "n3"
}
event "start" {
  at = 217
  dispatcher = "n4"
}
event "start" {
  at = 217
  dispatcher = "n5"
}
event "leave" {
  at = 235
  dispatcher = "n2"
}
event "pause" {
  at = 236
  dispatcher = "n4"
  for_s = 0.3
}
event "start" {
  at = 245
  dispatcher = "n2"
}
event "pause" {
  at = 250
  dispatcher = "n1"
  for_s = 3
}

# Words that get through one way only, a process that is starved of its core, and connections that trickle.
event "oneway" {
  at = 262
  groups = [["n1", "n2", "n3"]]
}
event "upgrade" {
  at = 264
  dispatcher = "n2"
}
event "heal" {
  at = 271
}
event "starve" {
  at = 278
  dispatcher = "n4"
  for_s = 8
}
event "upgrade" {
  at = 280
  dispatcher = "n1"
}
event "links" {
  at = 292
  loss = 0.1
  trickle = 2000
}
event "bounce" {
  at = 294
  dispatcher = "n2"
}
event "upgrade" {
  at = 297
  dispatcher = "n3"
}
event "heal" {
  at = 301
}
# A crash in the middle of joining, and a leave, a start and a crash of one name whose news cross.
event "kill" {
  at = 308
  dispatcher = "n3"
}
event "start" {
  at = 311
  dispatcher = "n3"
}
event "kill" {
  at = 311.05
  dispatcher = "n3"
}
event "start" {
  at = 314
  dispatcher = "n3"
}
event "links" {
  at = 320
  delay_ms = 10
  jitter_ms = 500
  twice = 0.3
}
event "leave" {
  at = 321
  dispatcher = "n5"
}
event "start" {
  at = 324.5
  dispatcher = "n5"
}
event "kill" {
  at = 324.8
  dispatcher = "n5"
}
event "start" {
  at = 325.3
  dispatcher = "n5"
}
event "heal" {
  at = 330
}

# While nobody runs, nobody answers.
promises {
  lost               = 400
  connections_closed = 4000
  crossed_closes     = 400
  refused            = 400
  failed             = 200
}
