// Package timer tells the parts of a world when their deadlines are due. Parts
// subscribe once and arm their subscription with the next deadline.
package timer

import "time"

// Service holds the subscriptions of one world. It belongs to one thread and
// never reads a clock: the caller passes the time of the tick.
type Service struct {
	subscriptions []*Subscription
}

// New returns a service without subscriptions.
func New() *Service { return &Service{} }

// Subscribe registers fire to be called by Fire at the first tick at or after
// the armed deadline. The subscription starts disarmed.
func (s *Service) Subscribe(name string, fire func(now time.Time)) *Subscription {
	sub := &Subscription{name: name, fire: fire}
	s.subscriptions = append(s.subscriptions, sub)
	return sub
}

// Fire disarms and calls each subscription whose deadline is not after now.
func (s *Service) Fire(now time.Time) {
	for _, sub := range s.subscriptions {
		if !sub.armed || sub.deadline.After(now) {
			continue
		}
		sub.armed = false
		sub.fire(now)
	}
}

// Next returns the earliest armed deadline and whether there is one.
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

// Subscription is the claim of one part on the timer service.
type Subscription struct {
	name     string
	fire     func(now time.Time)
	deadline time.Time
	armed    bool
}

// Name returns the name given at Subscribe.
func (s *Subscription) Name() string { return s.name }

// Arm sets the deadline, replacing an earlier one.
func (s *Subscription) Arm(deadline time.Time) { s.deadline, s.armed = deadline, true }

// ArmBefore sets the deadline if none is armed or the armed one is later.
func (s *Subscription) ArmBefore(deadline time.Time) {
	if !s.armed || deadline.Before(s.deadline) {
		s.Arm(deadline)
	}
}

// Disarm drops the deadline.
func (s *Subscription) Disarm() { s.armed = false }
