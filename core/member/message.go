package member

// MessageKind is the purpose of a membership message.
type MessageKind uint8

// Message kinds.
const (
	MessageProbe         MessageKind = iota + 1 // requests an ack
	MessageAck                                  // answers a probe
	MessageIndirectProbe                        // asks another instance to probe Subject
	MessageDigest                               // carries digests of the sender's tables
	MessageSync                                 // carries all rows of some buckets
	MessageAnnounce                             // forwards an announcement to the backend server's monitor
)

// Message is sent from one instance to another. Any message may also carry
// rumors.
type Message struct {
	kind      MessageKind
	from      string
	to        string
	subject   string   // instance to probe
	number    uint64   // number of the probe
	digests   []uint64 // digests of the sender's rows, by bucket
	buckets   []int    // buckets whose rows a MessageSync carries
	reply     bool     // whether a MessageSync answers another one
	instances []Instance
	backends  []Backend
}

// MessageOption sets optional fields of a message.
type MessageOption func(*Message)

// WithProbe sets the number of the probe and the instance to probe.
func WithProbe(number uint64, subject string) MessageOption {
	return func(m *Message) { m.number, m.subject = number, subject }
}

// WithDigests sets the digests of the sender's rows, by bucket.
func WithDigests(digests []uint64) MessageOption { return func(m *Message) { m.digests = digests } }

// WithBuckets sets the buckets whose rows a MessageSync carries.
func WithBuckets(buckets []int) MessageOption { return func(m *Message) { m.buckets = buckets } }

// WithReply sets whether a MessageSync answers another one.
func WithReply(reply bool) MessageOption { return func(m *Message) { m.reply = reply } }

// WithRows sets the table rows that the message carries.
func WithRows(instances []Instance, backends []Backend) MessageOption {
	return func(m *Message) { m.instances, m.backends = instances, backends }
}

// NewMessage returns a message between two instances.
func NewMessage(kind MessageKind, from, to string, options ...MessageOption) Message {
	m := Message{kind: kind, from: from, to: to}
	for _, option := range options {
		option(&m)
	}
	return m
}

// Kind returns the message's kind.
func (m Message) Kind() MessageKind { return m.kind }

// From returns the sending instance.
func (m Message) From() string { return m.from }

// To returns the receiving instance.
func (m Message) To() string { return m.to }

// Subject returns the instance to probe.
func (m Message) Subject() string { return m.subject }

// Number returns the probe's number.
func (m Message) Number() uint64 { return m.number }

// Digests returns the digests of the sender's rows, by bucket.
func (m Message) Digests() []uint64 { return m.digests }

// Buckets returns the buckets whose rows a MessageSync carries.
func (m Message) Buckets() []int { return m.buckets }

// Reply reports whether a MessageSync answers another one.
func (m Message) Reply() bool { return m.reply }

// Instances returns the instance rows that the message carries.
func (m Message) Instances() []Instance { return m.instances }

// Backends returns the backend server rows that the message carries.
func (m Message) Backends() []Backend { return m.backends }
