// Package control implements the control world of an instance. It manages
// membership, the hosted ledgers and their state machines, calls to ledgers on
// other instances, the local copy of the configuration, and the batch runner.
// One goroutine owns the world and publishes an immutable snapshot to the traffic
// threads. World only connects and runs the sub-worlds. Each sub-world has its own
// tables and systems: calls, hosts (state machines), config, loads, items,
// answerMoves, crashes and changes.
package control
