// Package quarantine finds the parts of prompts that crash backend servers. Requests
// share parts of their prompts. If backend servers crash as they begin to answer requests
// with the same part, new requests with this part are rejected, and others are not.
//
// The evidence is a table of crashes. Every instance that takes part holds it and merges
// the rows of others: a row only grows, so the order of messages and their repetition do
// not matter. Each instance derives the same rejections from the same rows.
package quarantine

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Limits of a crash. Further prompts and parts are dropped.
const (
	maxPromptsPerCrash = 16 // of the requests that one server had taken, whose answers had not begun
	maxBegunPerCrash   = 32 // of those whose answers had begun
	maxPartsPerPrompt  = 9
)

// Part identifies a shared part of the prompts of one service.
type Part string

// NewPart returns the part with the given id among the prompts of a service. An id that is no UTF-8 is escaped:
// other instances could not read it, and must know the part all the same.
func NewPart(service, id string) Part {
	if !utf8.ValidString(id) {
		id = strconv.QuoteToASCII(id)
	}
	return Part(service + "/" + id)
}

// wholeRequest marks the parts that stand for whole requests.
const wholeRequest = "request "

// NewRequestPart returns the part that stands for a whole request of a service, by what does not
// change when its caller sends it again: its target and its body.
func NewRequestPart(service, target string, body []byte) Part {
	content := xxhash.New()
	_, _ = content.WriteString(target) // a hash returns no errors
	_, _ = content.Write([]byte{0})
	_, _ = content.Write(body)
	return Part(fmt.Sprintf("%s%s/%016x", wholeRequest, service, content.Sum64()))
}

// isRequest reports whether the part stands for a whole request.
func (p Part) isRequest() bool { return strings.HasPrefix(string(p), wholeRequest) }

// Prompt is the list of the shared parts of one request, in their order. The part that stands
// for the whole request may precede them.
type Prompt []Part

// positions returns the parts with their positions among the shared parts, -1 for the whole
// request.
func (p Prompt) positions() iter.Seq2[int, Part] {
	return func(yield func(int, Part) bool) {
		position := 0
		for _, part := range p {
			at := -1
			if !part.isRequest() {
				at, position = position, position+1
			}
			if !yield(at, part) {
				return
			}
		}
	}
}

// CrashID identifies a crash: an incarnation of a backend server crashes once.
type CrashID struct {
	backend     string
	incarnation uint64
}

// NewCrashID returns the id of the crash of an incarnation of a backend server.
func NewCrashID(backend string, incarnation uint64) CrashID {
	return CrashID{backend: backend, incarnation: incarnation}
}

// Backend returns the id of the backend server.
func (c CrashID) Backend() string { return c.backend }

// Incarnation returns the incarnation of the backend server.
func (c CrashID) Incarnation() uint64 { return c.incarnation }

// Crash is what is known about a crash. Most requests that crash a server do so before the first
// event of their answer, so those whose answers had begun are listed apart.
type Crash struct {
	id       CrashID
	age      time.Duration
	suspects []Prompt
	begun    []Prompt
	excluded []Part
	cleared  []Part
	sound    []Part
	refuted  bool
}

// NewCrash returns a crash that happened age ago. suspects are the prompts of the
// requests that it took whose answers had not begun; on the excluded parts answers began
// after the crash was known.
func NewCrash(id CrashID, age time.Duration, suspects []Prompt, excluded []Part) Crash {
	return Crash{id: id, age: age, suspects: suspects, excluded: excluded}
}

// AsRefuted returns the crash with the information that it did not happen: the server
// answered afterwards.
func (c Crash) AsRefuted() Crash {
	c.refuted = true
	return c
}

// WithBegun returns the crash with the prompts of the requests that the server had taken and
// whose answers had begun.
func (c Crash) WithBegun(prompts []Prompt) Crash {
	c.begun = prompts
	return c
}

// WithCleared returns the crash with the parts on which answers came to their end after the crash
// was known.
func (c Crash) WithCleared(parts []Part) Crash {
	c.cleared = parts
	return c
}

// WithSound returns the crash with the parts on which answers had come to their end shortly before it
// was known.
func (c Crash) WithSound(parts []Part) Crash {
	c.sound = parts
	return c
}

// ID returns the id of the crash.
func (c Crash) ID() CrashID { return c.id }

// Age returns the time since the crash.
func (c Crash) Age() time.Duration { return c.age }

// Suspects returns the prompts of the requests whose answers had not begun.
func (c Crash) Suspects() []Prompt { return c.suspects }

// Begun returns the prompts of the requests whose answers had begun.
func (c Crash) Begun() []Prompt { return c.begun }

// Excluded returns the parts that cannot have caused the crash before the begin of an answer.
func (c Crash) Excluded() []Part { return c.excluded }

// Cleared returns the parts that cannot have caused the crash at all.
func (c Crash) Cleared() []Part { return c.cleared }

// Sound returns the parts that did not crash servers shortly before.
func (c Crash) Sound() []Part { return c.sound }

// Refuted reports whether the server answered after the crash, so that it did not crash.
func (c Crash) Refuted() bool { return c.refuted }

// crashRow is a crash in the table.
type crashRow struct {
	suspects     []Prompt
	begun        []Prompt
	excluded     []Part
	cleared      []Part
	sound        []Part
	refuted      bool
	happenedAt   time.Time
	learnedAt    time.Time // when the crash became known here
	version      uint64    // of the last change
	localVersion uint64    // of the last change that was observed here
}

// merge adds what another instance knows about the crash and reports whether that was
// new.
func (r *crashRow) merge(c Crash) bool {
	changed := c.refuted && !r.refuted
	r.refuted = r.refuted || c.refuted
	changed = addPrompts(&r.suspects, c.suspects, maxPromptsPerCrash) || changed
	changed = addPrompts(&r.begun, c.begun, maxBegunPerCrash) || changed
	changed = addParts(&r.excluded, c.excluded, r.names) || changed
	changed = addParts(&r.cleared, c.cleared, r.namesAnywhere) || changed
	changed = addParts(&r.sound, c.sound, r.namesAnywhere) || changed
	return changed
}

// addPrompts adds the prompts that are not known, up to the limit, and reports whether there were any.
func addPrompts(known *[]Prompt, prompts []Prompt, limit int) (changed bool) {
	for _, prompt := range prompts {
		prompt = prompt[:min(len(prompt), maxPartsPerPrompt)]
		isKnown := slices.ContainsFunc(*known, func(p Prompt) bool { return slices.Equal(p, prompt) })
		if len(prompt) > 0 && !isKnown && len(*known) < limit {
			*known, changed = append(*known, prompt), true
		}
	}
	return changed
}

// addParts adds the parts that are not known and that the row names, and reports whether there were any.
func addParts(known *[]Part, parts []Part, names func(Part) bool) (changed bool) {
	for _, part := range parts {
		if names(part) && !slices.Contains(*known, part) {
			*known, changed = append(*known, part), true
		}
	}
	return changed
}

// names reports whether a prompt without the begin of an answer contains the part.
func (r *crashRow) names(part Part) bool { return promptsContain(r.suspects, part) }

// namesAnywhere reports whether one of the prompts contains the part.
func (r *crashRow) namesAnywhere(part Part) bool {
	return r.names(part) || promptsContain(r.begun, part)
}

// promptsContain reports whether one of the prompts contains the part.
func promptsContain(prompts []Prompt, part Part) bool {
	return slices.ContainsFunc(prompts, func(p Prompt) bool { return slices.Contains(p, part) })
}

// crash returns the row as a message.
func (r *crashRow) crash(now time.Time, id CrashID) Crash {
	c := NewCrash(id, now.Sub(r.happenedAt), slices.Clone(r.suspects), slices.Clone(r.excluded)).
		WithBegun(slices.Clone(r.begun)).WithCleared(slices.Clone(r.cleared)).WithSound(slices.Clone(r.sound))
	c.refuted = r.refuted
	return c
}
