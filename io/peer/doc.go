// Package peer connects the instances of the system. Each pair of instances uses
// one TCP connection per direction, which is opened on demand. A frame is a
// length (uvarint) followed by its content. The first two frames of a sender are
// JSON-RPC 2.0 calls of "hello" and "prove", which show that the sender knows the
// shared key. Each later frame contains a zero byte and an encoded packet.
package peer
