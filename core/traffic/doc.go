// Package traffic implements the world of one traffic thread: the requests, their
// attempts at backend servers, and what the thread has measured of each backend server.
// It reads the snapshot of the control world and sends calls to the ledgers.
package traffic
