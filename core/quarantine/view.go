package quarantine

import (
	"slices"
	"time"
)

// Verdict says that requests with a part are rejected.
type Verdict struct {
	part     Part
	crashes  int
	backends []string
	until    time.Time     // by the clock of the control thread
	left     time.Duration // until then, when the view was made
}

// Part returns the rejected part.
func (v Verdict) Part() Part { return v.part }

// Crashes returns the number of crashes that the part explains.
func (v Verdict) Crashes() int { return v.crashes }

// Backends returns the ids of the first backend servers that crashed, at most
// maxLoggedBackends.
func (v Verdict) Backends() []string { return v.backends }

// TimeLeft returns the time until the end of the verdict, from when the view was made.
func (v Verdict) TimeLeft() time.Duration { return v.left }

// View holds the verdicts in force and the suspect parts. It never changes.
type View struct {
	verdicts []Verdict
	suspects map[Part]bool
	accused  map[CrashID]bool // incarnations of servers that are believed to have crashed
}

// NewView returns a view with the given verdicts and without suspect parts.
func NewView(verdicts []Verdict) *View { return &View{verdicts: verdicts} }

// At returns the view with the times left at a later time.
func (v *View) At(now time.Time) *View {
	if len(v.verdicts) == 0 {
		return v
	}
	later := &View{verdicts: slices.Clone(v.verdicts), suspects: v.suspects, accused: v.accused}
	for i := range later.verdicts {
		later.verdicts[i].left = later.verdicts[i].until.Sub(now)
	}
	return later
}

// Verdicts returns the verdicts in force.
func (v *View) Verdicts() []Verdict { return v.verdicts }

// Rejects returns the verdict on a prompt, if one of its parts is quarantined.
func (v *View) Rejects(prompt Prompt) (Verdict, bool) {
	for _, part := range prompt {
		if verdict, ok := v.verdict(part); ok {
			return verdict, true
		}
	}
	return Verdict{}, false
}

// Suspect reports whether a part may have caused a known crash. An answer that begins on
// it then matters.
func (v *View) Suspect(part Part) bool { return v.suspects[part] }

// Crashed reports whether an incarnation of a server is believed to have crashed. An answer
// to a request that is sent to it afterwards refutes that.
func (v *View) Crashed(id CrashID) bool { return v.accused[id] }

// verdict returns the verdict on a part.
func (v *View) verdict(part Part) (Verdict, bool) {
	for _, verdict := range v.verdicts {
		if verdict.part == part {
			return verdict, true
		}
	}
	return Verdict{}, false
}
