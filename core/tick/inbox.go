// Package tick runs a world on one goroutine. The goroutine sleeps until its
// inbox has messages or a deadline is due, and then runs one tick.
package tick

import (
	"context"
	"sync"
)

// Inbox collects messages for one loop. Any goroutine may post messages.
type Inbox[M any] struct {
	mu       sync.Mutex
	messages []M
	wake     chan struct{}
}

// NewInbox returns an empty inbox.
func NewInbox[M any]() *Inbox[M] {
	return &Inbox[M]{wake: make(chan struct{}, 1)}
}

// Post appends a message and wakes the loop.
func (b *Inbox[M]) Post(message M) {
	b.mu.Lock()
	b.messages = append(b.messages, message)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Len returns the number of waiting messages.
func (b *Inbox[M]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.messages)
}

// drain removes and returns all messages.
func (b *Inbox[M]) drain() []M {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.messages
	b.messages = nil
	return messages
}

// Receive blocks until there are messages, then removes and returns them. It
// returns nil when the context ends. Only one goroutine may call it.
func (b *Inbox[M]) Receive(ctx context.Context) []M {
	for {
		if messages := b.drain(); len(messages) > 0 {
			return messages
		}
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
		}
	}
}
