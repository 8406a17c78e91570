// Package disk keeps the records of all ledgers of an instance in one
// write-ahead log under the data folder. Records of one tick, and of ticks
// that arrive while the disk is busy, share a sync.
//
// The log is a series of segment files. A segment starts with an identity
// record. Each record is framed as length (uint32, little endian), CRC-32C of
// the body (uint32, little endian) and the body in CBOR.
package disk
