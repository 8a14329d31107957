// Package ingest is the dispatcher role: it takes messages from clients, has the stores keep them, and
// answers questions about them. It keeps nothing itself.
//
// A message is answered 202 once f + 1 stores have synced it: the owner of its partition and its holders, or,
// where the owner is silent and the message needs no order, f + 1 holders. It is refused with 503 only where
// nothing may have been stored; an unknown outcome is 504.
package ingest
