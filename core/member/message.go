package member

// MessageKind tells the purpose of a membership message.
type MessageKind uint8

// Message kinds.
const (
	MessageProbe         MessageKind = iota + 1 // asks for an ack
	MessageAck                                  // answers a probe
	MessageIndirectProbe                        // asks a third instance to probe Subject
	MessageDigest                               // compares the tables of two instances
	MessageSync                                 // carries the rows of some buckets
	MessageAnnounce                             // passes an announcement to the server's keeper
)

// Message goes from one instance to another. Every message may carry rumors.
type Message struct {
	kind      MessageKind
	from      string
	to        string
	subject   string   // instance that an indirect probe is about
	number    uint64   // number of the probe
	digests   []uint64 // of the sender's rows, by bucket
	buckets   []int    // that a MessageSync carries
	reply     bool     // a MessageSync that answers one
	instances []Instance
	backends  []Backend
}

// MessageOption sets optional fields of a message.
type MessageOption func(*Message)

// WithProbe sets the probe's number and the instance it is about.
func WithProbe(number uint64, subject string) MessageOption {
	return func(m *Message) { m.number, m.subject = number, subject }
}

// WithDigests sets the digests of the sender's rows, by bucket.
func WithDigests(digests []uint64) MessageOption { return func(m *Message) { m.digests = digests } }

// WithBuckets names the buckets of which a MessageSync carries all rows.
func WithBuckets(buckets []int) MessageOption { return func(m *Message) { m.buckets = buckets } }

// WithReply marks a MessageSync that answers another one.
func WithReply(reply bool) MessageOption { return func(m *Message) { m.reply = reply } }

// WithRows attaches rows of the tables.
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

// Kind returns the purpose.
func (m Message) Kind() MessageKind { return m.kind }

// From returns the sending instance.
func (m Message) From() string { return m.from }

// To returns the receiving instance.
func (m Message) To() string { return m.to }

// Subject returns the instance that an indirect probe is about.
func (m Message) Subject() string { return m.subject }

// Number returns the probe's number.
func (m Message) Number() uint64 { return m.number }

// Digests returns the digests of the sender's rows, by bucket.
func (m Message) Digests() []uint64 { return m.digests }

// Buckets returns the buckets of which a MessageSync carries all rows.
func (m Message) Buckets() []int { return m.buckets }

// Reply reports a MessageSync that answers another one.
func (m Message) Reply() bool { return m.reply }

// Instances returns the attached instance rows.
func (m Message) Instances() []Instance { return m.instances }

// Backends returns the attached backend server rows.
func (m Message) Backends() []Backend { return m.backends }
