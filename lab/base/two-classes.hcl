# A short job that may be repeated and a long one that must not run twice, for scenarios that name this file as their base.
class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  late_worth = 0.4
  work_ms    = 20
  spread     = 0.5
  body_bytes = 200
}
class "issue-policy" {
  part         = 1
  effect       = "at_most_once"
  aim_ms       = 800
  deadline_s   = 4
  worth        = 8
  work_ms      = 60
  spread       = 0.6
  body_bytes   = 900
}
