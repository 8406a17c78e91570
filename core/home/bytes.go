package home

// Memory of rows beside their texts, in bytes.
const (
	requestOverhead = 256
	jobOverhead     = 512
	itemOverhead    = 256 // with its state and the place of its answer
)

// Bytes of encoded rows beside their texts.
const (
	encodedOverhead     = 32
	encodedItemOverhead = 8
)

// Bytes returns the approximate memory that the requests and jobs take.
func (s *State) Bytes() int {
	size := s.requestBytes
	s.jobs.Each(func(_ Key, job *jobRow) { size += job.bytes })
	return size
}

// Growth returns the approximate memory that a submit command adds, 0 if its items are stored already.
func (s *State) Growth(c Command) int {
	size, stored := 0, 0
	if job := s.jobs.Get(c.key); job == nil {
		size = jobBytes(c.key, c.service)
	} else {
		stored = max(len(job.items)-c.offset, 0)
	}
	for _, item := range c.items[min(stored, len(c.items)):] {
		size += item.bytes()
	}
	return size
}

// EncodedBytes returns the approximate size of the records when they are encoded.
func (r Records) EncodedBytes() int {
	size := encodedOverhead
	for _, q := range r.requests {
		size += encodedOverhead + q.key.bytes() + q.answer.bytes()
	}
	for _, j := range r.jobs {
		size += encodedOverhead + j.key.bytes() + len(j.service)
		for _, item := range j.items {
			size += encodedItemOverhead + len(item.prompt)
		}
		for _, c := range j.answers {
			size += encodedOverhead + c.job.bytes() + c.answer.bytes()
		}
	}
	return size
}

// bytes returns the memory of a key.
func (k Key) bytes() int { return len(k.account) + len(k.name) }

// bytes returns the memory of an answer's texts.
func (a Answer) bytes() int { return len(a.text) + len(a.reason) + len(a.backend) }

// bytes returns the memory of an item without its answer.
func (i Item) bytes() int { return itemOverhead + len(i.prompt) }

// jobBytes returns the memory of a job without its items.
func jobBytes(key Key, service string) int { return jobOverhead + key.bytes() + len(service) }

// putRequest adds the row of a key.
func (s *State) putRequest(key Key, row requestRow) *requestRow {
	s.requestBytes += requestOverhead + key.bytes() + row.answer.bytes()
	return s.requests.Put(key, row)
}

// removeRequest removes the row of a key, if there is one.
func (s *State) removeRequest(key Key) {
	if row := s.requests.Get(key); row != nil {
		s.requestBytes -= requestOverhead + key.bytes() + row.answer.bytes()
		s.requests.Remove(key)
	}
}

// setAnswer sets the answer of a row.
func (s *State) setAnswer(row *requestRow, answer Answer) {
	s.requestBytes += answer.bytes() - row.answer.bytes()
	row.answer = answer
}
