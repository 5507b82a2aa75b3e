// Package stream ensures that a caller receives the complete answer to its own
// request. Answers are matched to the attempt that requested them. A stream is
// delivered event by event without gaps or duplicates, resumed after an
// interruption, and ended either by the engine's terminal event or by an error.
package stream

// Attempt identifies one dispatch of a request to one run of an endpoint.
type Attempt struct {
	// ID is unique to the dispatch; the endpoint echoes it.
	ID string
	// Incarnation is the endpoint's incarnation when the attempt was made.
	Incarnation string
}
