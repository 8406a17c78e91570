// Package disk keeps the records of all ledgers of an instance in one
// write-ahead log under the data folder. The records of a tick and of all ticks
// that arrive during the previous sync are synced together (group commit).
//
// The log is a series of segment files. A segment starts with an identity
// record, which contains the nonce of the instance's replica ids. The frame of a
// record consists of the length of the body (uint32, little endian), the CRC-32C
// of the body (uint32, little endian) and the body in CBOR.
package disk
