# What a member costs, at the size that --dispatchers says: nothing happens, and hardly a request comes. 300 ms of every process are taken
# away once, which no member may be called failed for.
title       = "what a member of a fleet costs"
duration    = "40s"
rate        = 2
callers     = 8
dispatchers = 5

class "price-trip" {
  part       = 1
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  work_ms    = 20
}
workers "old-box" {
  count = 4
  slots = 16
}
event "pause" {
  at         = 30
  dispatcher = "n2"
  for_s      = 0.3
}
promises {
  refused = 4
  failed  = 4
}
