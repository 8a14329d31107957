# Ten minutes of 20% loss, delays and disorder on every link, while one member after the other stands still for 300 ms: nobody is ever held for
# failed. The long proof that a suspicion needs more than a bad network.
title       = "no false failure"
base        = "base/two-classes.hcl"
duration    = "10m"
rate        = 30
callers     = 48
dispatchers = 8

workers "old-box" {
  count = 6
  slots = 16
}

event "links" {
  at = 5
  loss = 0.2
  delay_ms = 5
  jitter_ms = 20
}
event "pause" {
  at = 15
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 25
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 35
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 45
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 55
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 65
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 75
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 85
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 95
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 105
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 115
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 125
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 135
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 145
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 155
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 165
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 175
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 185
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 195
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 205
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 215
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 225
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 235
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 245
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 255
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 265
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 275
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 285
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 295
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 305
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 315
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 325
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 335
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 345
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 355
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 365
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 375
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 385
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 395
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 405
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 415
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 425
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 435
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 445
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 455
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 465
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 475
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 485
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 495
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 505
  dispatcher = "n2"
  for_s = 0.3
}
event "pause" {
  at = 515
  dispatcher = "n3"
  for_s = 0.3
}
event "pause" {
  at = 525
  dispatcher = "n4"
  for_s = 0.3
}
event "pause" {
  at = 535
  dispatcher = "n5"
  for_s = 0.3
}
event "pause" {
  at = 545
  dispatcher = "n6"
  for_s = 0.3
}
event "pause" {
  at = 555
  dispatcher = "n7"
  for_s = 0.3
}
event "pause" {
  at = 565
  dispatcher = "n8"
  for_s = 0.3
}
event "pause" {
  at = 575
  dispatcher = "n1"
  for_s = 0.3
}
event "pause" {
  at = 585
  dispatcher = "n2"
  for_s = 0.3
}

promises {
  strict             = true
  connections_closed = 2000
  crossed_closes     = 400
  refused            = 400
  failed             = 100
}
