# One good upgrade at a low rate: the first thing to look at when something is broken.
title    = "one good upgrade"
duration = "6s"
rate     = 200
callers  = 64

class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  work_ms    = 25
  spread     = 0.5
}
class "issue-policy" {
  part       = 2
  effect     = "at_most_once"
  aim_ms     = 500
  deadline_s = 4
  worth      = 8
  work_ms    = 80
  spread     = 0.4
}
workers "old-box" {
  count = 4
  slots = 8
}
event "upgrade" { at = 2 }
promises {}
