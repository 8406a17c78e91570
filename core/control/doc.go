// Package control is the control world of an instance: membership, hosted
// ledgers and their state machines, calls to ledgers elsewhere, the followed
// configuration and the batch runner. One goroutine owns it; it publishes an
// immutable snapshot to the traffic threads. World only wires and runs the
// sub-worlds, each with its own tables and systems: calls, hosts (state machines),
// config, demand, items, strays, suspicions and notes.
package control
