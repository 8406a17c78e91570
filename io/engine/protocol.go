// Package engine is a client of the HTTP protocol of model engines. A request is JSON and
// its response is a stream of server-sent events. A request is cancelled by closing the
// connection and by id, and can resume after a given text. Engines report their load and
// accept orders with a fencing number.
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
	Resume    string `json:"resume,omitempty"` // text generated so far; the engine continues after it
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Chunk is one server-sent event of a response.
type Chunk struct {
	ID     string `json:"id"`
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	Done   bool   `json:"done,omitempty"`
}

// ErrorResponse is the body of a response with an HTTP error status. Status 503 means that
// the engine did not run the request, 4xx that it can never run it.
type ErrorResponse struct {
	ID    string `json:"id,omitempty"` // of the request, if it could be read
	Error string `json:"error"`
}

// Names reports whether a response with an error status is that to the request with an id. One without
// an id is, unless its connection had other requests: it may be an earlier one that the
// server wrote once more.
func (r ErrorResponse) Names(id string, connectionReused bool) bool {
	return r.ID == id || (r.ID == "" && !connectionReused)
}

// CancelRequest cancels a request by its id.
type CancelRequest struct {
	ID string `json:"id"`
}

// Order tells an engine which model and adapter versions to load.
type Order struct {
	Fence uint64   `json:"fence"` // an engine with fencing rejects a number below the highest seen
	Load  []string `json:"load"`  // name@version
}

// OrderResponse is the response to an accepted order.
type OrderResponse struct {
	Fence  uint64   `json:"fence"` // highest fencing number seen
	Loaded []string `json:"loaded"`
}

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
}
