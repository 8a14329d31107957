# Jobs of a tenth of a second, which fill four slots at some hundred requests a second, for scenarios that name this file as their base.
class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 300
  deadline_s = 2
  worth      = 1
  late_worth = 0.4
  work_ms    = 80
  spread     = 0.5
  body_bytes = 200
}
class "issue-policy" {
  part         = 1
  effect       = "at_most_once"
  aim_ms       = 800
  deadline_s   = 4
  worth        = 8
  work_ms      = 120
  spread       = 0.6
  body_bytes   = 900
}
