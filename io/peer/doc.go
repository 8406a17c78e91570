// Package peer connects the instances of the system. Each pair uses one TCP
// connection a direction, opened on demand, with JSON-RPC 2.0 objects in
// frames of a length (uvarint) and a JSON text. The method "deliver" carries
// one encoded packet; a call of "hello" and one of "prove" come first and show
// that the sender knows the shared key.
package peer
