// Package peer connects the instances of the system. Each pair uses one TCP
// connection a direction, opened on demand, with frames of a length (uvarint)
// and a content. A call of "hello" and one of "prove", JSON-RPC 2.0 objects,
// come first and show that the sender knows the shared key; each further frame
// holds an encoded packet behind a zero byte.
package peer
