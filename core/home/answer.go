// Package home is the state machine of a home ledger, the replicated log for the
// request keys and jobs that are assigned to it. It stores answers by request key,
// jobs with their items, item leases and crash counts. Apply is a deterministic
// function of the state and the command.
package home

import (
	"time"

	"papayaquay/core/outcome"
)

// Key names a request or a job of one account.
type Key struct {
	account string
	name    string
}

// NewKey returns the key called name of an account.
func NewKey(account, name string) Key { return Key{account: account, name: name} }

// Account returns the caller account.
func (k Key) Account() string { return k.account }

// Name returns the key's name within the account.
func (k Key) Name() string { return k.name }

// String returns account and name joined by a slash.
func (k Key) String() string { return k.account + "/" + k.name }

// Answer is the final result of a request or an item.
type Answer struct {
	code     outcome.Code
	text     string
	tokens   int
	reason   string
	backend  string
	finished time.Time
}

// NewAnswer returns an answer with its generated text and token count.
func NewAnswer(code outcome.Code, text string, tokens int, reason, backend string, finished time.Time) Answer {
	return Answer{code: code, text: text, tokens: tokens, reason: reason, backend: backend, finished: finished}
}

// Code returns how the request ended.
func (a Answer) Code() outcome.Code { return a.code }

// Text returns the generated text.
func (a Answer) Text() string { return a.text }

// Tokens returns the number of generated tokens.
func (a Answer) Tokens() int { return a.tokens }

// Reason explains a code other than OK.
func (a Answer) Reason() string { return a.reason }

// Backend returns the backend server that produced the text.
func (a Answer) Backend() string { return a.backend }

// Finished returns when the answer was produced, with millisecond precision.
func (a Answer) Finished() time.Time { return a.finished }
