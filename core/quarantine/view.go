package quarantine

import (
	"slices"
	"time"
)

// Rejection says that requests with a part are rejected.
type Rejection struct {
	part     Part
	crashes  int
	backends []string
	until    time.Time     // by the clock of the control thread
	left     time.Duration // until then, when the view was made
}

// Part returns the rejected part.
func (v Rejection) Part() Part { return v.part }

// Crashes returns the number of crashes that the part explains.
func (v Rejection) Crashes() int { return v.crashes }

// Backends returns the ids of the first backend servers that crashed, at most
// maxLoggedBackends.
func (v Rejection) Backends() []string { return v.backends }

// TimeLeft returns the time until the end of the rejection, from when the view was made.
func (v Rejection) TimeLeft() time.Duration { return v.left }

// View holds the rejections in force and the suspect parts. It never changes.
type View struct {
	rejections []Rejection
	suspects   map[Part]bool
	uncleared  map[Part]bool
	sound      map[Part]bool
	crashed    map[CrashID]bool // incarnations of servers that are believed to have crashed
}

// NewView returns a view with the given rejections and without suspect parts.
func NewView(rejections []Rejection) *View { return &View{rejections: rejections} }

// At returns the view with the times left at a later time.
func (v *View) At(now time.Time) *View {
	if len(v.rejections) == 0 {
		return v
	}
	later := &View{rejections: slices.Clone(v.rejections), suspects: v.suspects, uncleared: v.uncleared, sound: v.sound, crashed: v.crashed}
	for i := range later.rejections {
		later.rejections[i].left = later.rejections[i].until.Sub(now)
	}
	return later
}

// Rejections returns the rejections in force.
func (v *View) Rejections() []Rejection { return v.rejections }

// Rejects returns the rejection on a prompt, if one of its parts is quarantined.
func (v *View) Rejects(prompt Prompt) (Rejection, bool) {
	for _, part := range prompt {
		if rejection, ok := v.rejection(part); ok {
			return rejection, true
		}
	}
	return Rejection{}, false
}

// Suspect reports whether a part may have caused a known crash. An answer that begins on
// it then matters.
func (v *View) Suspect(part Part) bool { return v.suspects[part] }

// Uncleared reports whether a part may have caused a known crash, before or after the begin of an
// answer. An answer on it that comes to its end then matters.
func (v *View) Uncleared(part Part) bool { return v.uncleared[part] }

// EachUnproven calls visit for each part that may have caused a known crash and of which no instance
// has said that answers on it came to their end shortly before.
func (v *View) EachUnproven(visit func(Part)) {
	for _, parts := range []map[Part]bool{v.suspects, v.uncleared} {
		for part := range parts {
			if !v.sound[part] {
				visit(part)
			}
		}
	}
}

// Crashed reports whether an incarnation of a server is believed to have crashed. An answer
// to a request that is sent to it afterwards refutes that.
func (v *View) Crashed(id CrashID) bool { return v.crashed[id] }

// HasCrashes reports whether any server is believed to have crashed.
func (v *View) HasCrashes() bool { return len(v.crashed) > 0 }

// rejection returns the rejection on a part.
func (v *View) rejection(part Part) (Rejection, bool) {
	for _, rejection := range v.rejections {
		if rejection.part == part {
			return rejection, true
		}
	}
	return Rejection{}, false
}
