// Package traffic is the world of one traffic thread: requests, their attempts
// at backend servers, and what the thread learned of each backend server. It
// reads the control world's snapshot and asks the ledgers by calls.
package traffic
