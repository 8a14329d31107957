# How long everything stands still with about 100 open requests. docs/measurements/upgrade.md has the results.
title = "about 100 open requests"
duration = "14s"
rate = 400
callers = 300
limits {
  sockets = 20000
  memory_mb = 1024
}
operator = "take_within = \"430ms\"\nact_within=\"20ms\""
class "safe" {
  part = 1
  effect = "idempotent"
  aim_ms = 20000
  deadline_s = 20
  worth = 1
  work_ms = 250
  spread = 0.1
  body_bytes = 300
}
workers "w" {
  count = 20
  slots = 400
}
event "upgrade" { at = 8 }
event "upgrade" { at = 10.2 }
event "upgrade" { at = 12.4 }
promises {}
