// Package ingest implements the dispatcher role: it accepts messages from clients, replicates them to the
// stores and serves queries for their state and body. It persists nothing itself.
//
// A message is answered with 202 once f + 1 stores have synced it to disk: the owner of its partition and its
// holders, or f + 1 holders if the owner does not respond and the message needs no order. 503 is returned only
// if no store can have stored the message; if the outcome is unknown, the answer is 504.
package ingest
