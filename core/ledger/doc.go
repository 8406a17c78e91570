// Package ledger keeps replicated logs. One world hosts many ledgers; each
// ledger is a row with its own term, log, voters and leader. The protocol is
// Raft with pre-vote, leader leases, learners, single-step membership changes
// and snapshots. The world does no I/O: a tick yields messages for other
// instances, records for the disk and committed entries for state machines.
//
// Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
package ledger
