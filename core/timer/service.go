// Package timer notifies the components of a world when their deadlines are
// due. A component subscribes once and arms its subscription with the next
// deadline.
package timer

import "time"

// Service holds the subscriptions of one world. Only one thread may use it. It
// never reads a clock: the caller passes the time of the tick.
type Service struct {
	subscriptions []*Subscription
}

// New returns a service without subscriptions.
func New() *Service { return &Service{} }

// Subscribe registers a callback. Fire calls it at the first tick at or after
// the armed deadline. The new subscription is not armed.
func (s *Service) Subscribe(name string, fire func(now time.Time)) *Subscription {
	sub := &Subscription{name: name, fire: fire}
	s.subscriptions = append(s.subscriptions, sub)
	return sub
}

// Fire disarms each subscription whose deadline is not after now and calls its
// callback.
func (s *Service) Fire(now time.Time) {
	for _, sub := range s.subscriptions {
		if !sub.armed || sub.deadline.After(now) {
			continue
		}
		sub.armed = false
		sub.fire(now)
	}
}

// Next returns the earliest armed deadline. It returns false if no subscription
// is armed.
func (s *Service) Next() (time.Time, bool) {
	var next time.Time
	found := false
	for _, sub := range s.subscriptions {
		if sub.armed && (!found || sub.deadline.Before(next)) {
			next, found = sub.deadline, true
		}
	}
	return next, found
}

// Subscription is one callback with a deadline.
type Subscription struct {
	name     string
	fire     func(now time.Time)
	deadline time.Time
	armed    bool
}

// Name returns the name passed to Subscribe.
func (s *Subscription) Name() string { return s.name }

// Arm sets the deadline and replaces an earlier one.
func (s *Subscription) Arm(deadline time.Time) { s.deadline, s.armed = deadline, true }

// ArmBefore sets the deadline unless an earlier one is armed.
func (s *Subscription) ArmBefore(deadline time.Time) {
	if !s.armed || deadline.Before(s.deadline) {
		s.Arm(deadline)
	}
}

// Disarm removes the deadline.
func (s *Subscription) Disarm() { s.armed = false }
