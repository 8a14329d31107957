# Jobs of each effect, for scenarios that name this file as their base.
class "price-trip" {
  part       = 6
  effect     = "idempotent"
  aim_ms     = 200
  deadline_s = 2
  worth      = 1
  late_worth = 0.4
  work_ms    = 25
  spread     = 0.5
  body_bytes = 200
}
class "save-quote" {
  part       = 3
  effect     = "deduplicated"
  aim_ms     = 300
  deadline_s = 3
  worth      = 2
  late_worth = 0.4
  work_ms    = 40
  spread     = 0.4
  body_bytes = 3000
}
class "issue-policy" {
  part         = 1
  effect       = "at_most_once"
  aim_ms       = 800
  deadline_s   = 4
  worth        = 8
  work_ms      = 150
  spread       = 0.6
  body_bytes   = 900
  result_bytes = 60000
}
