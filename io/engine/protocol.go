// Package engine speaks to model engines over HTTP: a JSON request, an answer
// as server-sent events, cancelling by closing and by id, resuming after a
// given text, load reports, and orders with a fencing number.
package engine

// Paths of the protocol, below the engine's base URL.
const (
	PathCompletions = "/v1/completions"
	PathCancel      = "/v1/cancel"
	PathOrders      = "/v1/orders"
	PathLoad        = "/v1/load"
)

// CompletionRequest asks an engine to generate text.
type CompletionRequest struct {
	ID        string `json:"id"` // echoed in every event
	Model     string `json:"model,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	Resume    string `json:"resume,omitempty"` // text generated before, to go on after
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Chunk is one server-sent event of an answer.
type Chunk struct {
	ID     string `json:"id"`
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Done   bool   `json:"done,omitempty"`
}

// ErrorResponse is the body of an answer with an HTTP error status. Status 503 means
// that the engine did not run the request, 4xx that it never can.
type ErrorResponse struct {
	Error string `json:"error"`
}

// CancelRequest stops a request by its id.
type CancelRequest struct {
	ID string `json:"id"`
}

// Order tells an engine to load a model or adapter version.
type Order struct {
	Fence uint64   `json:"fence"` // an engine that checks refuses a lower one than seen before
	Load  []string `json:"load"`  // name@version
}

// OrderResponse answers an order.
type OrderResponse struct {
	Fence  uint64   `json:"fence"` // highest number seen
	Loaded []string `json:"loaded"`
}

// LoadReport is the engine's own view of its load.
type LoadReport struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
}
