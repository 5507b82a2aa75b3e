// Package stream makes sure that a caller receives the whole answer to its
// own request: answers are matched to the attempt that asked for them, and a
// stream is delivered event by event without a gap or a repeat, resumed where
// it broke, and ended either by the engine's last event or by an error.
package stream

// Attempt identifies one dispatch to one run of an endpoint.
type Attempt struct {
	// ID is unique to the dispatch; the endpoint echoes it.
	ID string
	// Incarnation is the endpoint's, as known when the attempt was made.
	Incarnation string
}

// Verdict says what to do with an answer.
type Verdict int

// Verdicts of Matcher.Match.
const (
	// Accept: the answer is the one that was asked for.
	Accept Verdict = iota + 1
	// Stale: no such attempt is open; the answer is late, doubled or crossed.
	Stale
	// WrongIncarnation: the endpoint has started anew since the attempt.
	WrongIncarnation
)

// Matcher matches whole answers to open attempts. It holds only the open
// ones: after the first accepted answer, or Forget, every other is stale.
type Matcher struct {
	open map[string]Attempt
}

// NewMatcher returns a Matcher without open attempts.
func NewMatcher() *Matcher { return &Matcher{open: map[string]Attempt{}} }

// Expect opens an attempt.
func (m *Matcher) Expect(a Attempt) { m.open[a.ID] = a }

// Forget closes an attempt whose answer is not wanted any more.
func (m *Matcher) Forget(id string) { delete(m.open, id) }

// Open returns the number of open attempts.
func (m *Matcher) Open() int { return len(m.open) }

// Match judges an answer by what it echoes and closes the attempt that it
// answers.
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
