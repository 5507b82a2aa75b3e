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

// Verdict is the result of matching an answer.
type Verdict int

// Verdicts of Matcher.Match.
const (
	// Accept means that the answer belongs to an open attempt.
	Accept Verdict = iota + 1
	// Stale means that no such attempt is open: the answer is late, a
	// duplicate, or meant for another request.
	Stale
	// WrongIncarnation means that the endpoint has restarted since the attempt.
	WrongIncarnation
)

// Matcher matches complete answers to open attempts. An attempt is closed by its
// first accepted answer or by Forget; any further answer to it is stale.
type Matcher struct {
	open map[string]Attempt
}

// NewMatcher returns a Matcher with no open attempts.
func NewMatcher() *Matcher { return &Matcher{open: map[string]Attempt{}} }

// Expect opens an attempt.
func (m *Matcher) Expect(a Attempt) { m.open[a.ID] = a }

// Forget closes an attempt whose answer is no longer needed.
func (m *Matcher) Forget(id string) { delete(m.open, id) }

// Open returns the number of open attempts.
func (m *Matcher) Open() int { return len(m.open) }

// Match compares the attempt echoed by an answer with the open attempts, and
// closes the attempt if the answer is accepted.
func (m *Matcher) Match(echo Attempt) Verdict {
	a, ok := m.open[echo.ID]
	if !ok {
		return Stale
	}
	if a.Incarnation != echo.Incarnation {
		return WrongIncarnation
	}
	delete(m.open, echo.ID)
	return Accept
}
