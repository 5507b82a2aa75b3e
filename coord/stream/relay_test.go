package stream

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

var epoch = time.Unix(1000, 0)

func TestMatcher(t *testing.T) {
	m := NewMatcher()
	m.Expect(Attempt{"a", "i1"})
	m.Expect(Attempt{"b", "i1"})
	assert.Equal(t, m.Match(Attempt{"c", "i1"}), Stale, "crossed")
	assert.Equal(t, m.Match(Attempt{"a", "i2"}), WrongIncarnation)
	assert.Equal(t, m.Match(Attempt{"a", "i1"}), Accept)
	assert.Equal(t, m.Match(Attempt{"a", "i1"}), Stale, "doubled")
	m.Forget("b")
	assert.Equal(t, m.Match(Attempt{"b", "i1"}), Stale, "late")
	assert.Equal(t, m.Open(), 0)
}

// opened returns a relay with its first attempt open.
func opened(opts Options) (*Relay, Attempt) {
	opts.Stream = "s"
	r := New(opts)
	open := r.Step(epoch, Begin{})[0].(Open)
	r.Step(epoch, Opened{Number: open.Number, Incarnation: "i1"})
	return r, Attempt{open.ID, "i1"}
}

func TestResumeAfterBreak(t *testing.T) {
	r, a := opened(Options{})
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: a, ID: 1, Data: []byte("x")}),
		[]Effect{Deliver{ID: 1, Data: []byte("x")}})
	assert.DeepEqual(t, r.Step(epoch, Broken{Number: 1}),
		[]Effect{Cancel{Number: 1, ID: "s/1"}, Open{Number: 2, ID: "s/2", After: 1}})
	assert.Equal(t, len(r.Step(epoch, Broken{Number: 1})), 0, "told twice")
	r.Step(epoch, Opened{Number: 2, Incarnation: "i2"})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: a, ID: 2})), 0, "late")
	b := Attempt{"s/2", "i2"}
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: b, ID: 1})), 0, "doubled")
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: b, ID: 2, Last: true}),
		[]Effect{Deliver{ID: 2, Last: true}, End{}})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: b, ID: 3})), 0)
}

func TestGapResumes(t *testing.T) {
	r, a := opened(Options{})
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: a, ID: 2}),
		[]Effect{Cancel{Number: 1, ID: "s/1"}, Open{Number: 2, ID: "s/2"}})
}

func TestResumesAreBounded(t *testing.T) {
	tests := []struct {
		name    string
		notSent bool
		kind    problem.Kind
		ran     problem.Ran
	}{
		{"never sent", true, problem.NoEndpoint, problem.RanNo},
		{"broken off", false, problem.StreamInterrupted, problem.RanUnknown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := New(Options{Stream: "s", MaxResumes: 2})
			r.Step(epoch, Begin{})
			for n := 1; n <= 2; n++ {
				effects := r.Step(epoch, Broken{Number: n, NotSent: tc.notSent})
				_, ok := effects[len(effects)-1].(Open)
				assert.Assert(t, ok)
			}
			effects := r.Step(epoch, Broken{Number: 3, NotSent: tc.notSent})
			end := effects[len(effects)-1].(End)
			assert.Equal(t, end.Err.Kind, tc.kind)
			assert.Equal(t, end.Err.Ran, tc.ran)
		})
	}
}

func TestSlowCaller(t *testing.T) {
	opts := Options{PauseBytes: 4, MaxBytes: 8}
	r, a := opened(opts)
	two := []byte("xx")
	r.Step(epoch, Received{Attempt: a, ID: 1, Data: two})
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: a, ID: 2, Data: two})[1], Effect(Pause{Number: 1}))
	assert.DeepEqual(t, r.Step(epoch, Consumed{ID: 1}), []Effect{Continue{Number: 1}})
	r.Step(epoch, Received{Attempt: a, ID: 3, Data: two})
	effects := r.Step(epoch.Add(DefaultSlowTimeout), Tick{})
	assert.DeepEqual(t, effects[0], Effect(Cancel{Number: 1, ID: "s/1"}))
	assert.Equal(t, effects[1].(End).Err.Kind, problem.StreamInterrupted)

	r, a = opened(opts)
	for id := uint64(1); !r.Ended(); id++ {
		assert.Assert(t, id <= 4, "the bound was passed")
		r.Step(epoch, Received{Attempt: a, ID: id, Data: two})
	}
}

func TestCallerGoneCancelsAtEngine(t *testing.T) {
	r, a := opened(Options{})
	assert.DeepEqual(t, r.Step(epoch, CallerGone{}), []Effect{Cancel{Number: 1, ID: a.ID}})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: a, ID: 1})), 0)
}

func TestAbort(t *testing.T) {
	r, a := opened(Options{})
	err := problem.New(problem.DeadlineExceeded, "late", "retry")
	assert.DeepEqual(t, r.Step(epoch, Abort{err}), []Effect{Cancel{Number: 1, ID: a.ID}, End{Err: err}})
}

// faultyRun plays a stream of engines that break off, double, skip and cross
// events, restart, and end without the last event. It returns an error if the
// caller got anything but a prefix of its stream and a truthful end.
func faultyRun(t *rapid.T, edit func(*Relay, Event) Event) error {
	length := rapid.Uint64Range(1, 12).Draw(t, "length")
	r := New(Options{Stream: "s", MaxResumes: 4})
	caller := &caller{length: length}
	step := func(ev Event) { caller.take(r.Step(epoch, edit(r, ev))) }
	step(Begin{})
	for range 80 {
		if r.Ended() || caller.err != nil {
			break
		}
		step(drawEvent(t, r, caller, length))
	}
	return caller.verdict(r)
}

// data returns the event of one stream; another stream has other data.
func data(stream string, id uint64) []byte { return fmt.Appendf(nil, "%s-%d", stream, id) }

// drawEvent is mostly the next event of the present attempt.
func drawEvent(t *rapid.T, r *Relay, c *caller, length uint64) Event {
	if !r.opened {
		return Opened{Number: r.number, Incarnation: fmt.Sprint("i", r.number)}
	}
	next := Received{Attempt: r.attempt, ID: c.next(), Data: data("s", c.next()), Last: c.next() == length}
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		return Broken{Number: r.number}
	case 1:
		return Broken{Number: rapid.IntRange(0, r.number).Draw(t, "number")}
	case 2: // an event of another caller's stream
		return Received{Attempt: Attempt{"other/1", r.attempt.Incarnation}, ID: next.ID, Data: data("other", next.ID)}
	case 3: // a late event of an earlier attempt, which took another course
		return Received{Attempt: Attempt{fmt.Sprintf("s/%d", r.number-1), "i0"}, ID: next.ID, Data: data("late", next.ID)}
	case 4: // the endpoint has started anew
		return Received{Attempt: Attempt{r.attempt.ID, "new"}, ID: next.ID, Data: data("new", next.ID)}
	case 5: // a gap
		next.ID += 2
		next.Data, next.Last = data("s", next.ID), next.ID >= length
	case 6: // a repeat
		next.ID = max(next.ID, 2) - 1
		next.Data, next.Last = data("s", next.ID), next.ID == length
	}
	return next
}

// caller checks what it is given.
type caller struct {
	length   uint64
	got      uint64
	ended    bool
	complete bool
	err      error
}

func (c *caller) next() uint64 { return c.got + 1 }

func (c *caller) take(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Deliver:
			if e.ID != c.next() || string(e.Data) != string(data("s", c.next())) {
				c.err = fmt.Errorf("event %d with %q follows event %d", e.ID, e.Data, c.got)
			}
			c.got++
		case End:
			if c.ended {
				c.err = errors.New("ended twice")
			}
			c.ended, c.complete = true, e.Err == nil
		}
	}
}

func (c *caller) verdict(r *Relay) error {
	switch {
	case c.err != nil:
		return c.err
	case c.ended != r.Ended():
		return errors.New("ended without telling the caller")
	case c.complete && c.got != c.length:
		return fmt.Errorf("%d of %d events without an error", c.got, c.length)
	}
	return nil
}

func TestCallerGetsItsWholeStreamOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, faultyRun(t, func(_ *Relay, ev Event) Event { return ev }))
	})
}

// TestEachMechanismMatters shows that the check above fails with any one
// mechanism off.
func TestEachMechanismMatters(t *testing.T) {
	received := func(edit func(*Relay, *Received)) func(*Relay, Event) Event {
		return func(r *Relay, ev Event) Event {
			if e, ok := ev.(Received); ok {
				edit(r, &e)
				return e
			}
			return ev
		}
	}
	variants := map[string]func(*Relay, Event) Event{
		"attempt":     received(func(r *Relay, e *Received) { e.Attempt.ID = r.attempt.ID }),
		"incarnation": received(func(r *Relay, e *Received) { e.Attempt.Incarnation = r.attempt.Incarnation }),
		"event id":    received(func(r *Relay, e *Received) { e.ID = r.last + 1 }),
		"terminal event": func(r *Relay, ev Event) Event {
			if e, ok := ev.(Broken); ok && e.Number == r.number {
				return Received{Attempt: r.attempt, ID: r.last + 1, Data: data("s", r.last+1), Last: true}
			}
			return ev
		},
	}
	for name, edit := range variants {
		t.Run(name, func(t *testing.T) {
			caught := false
			rapid.Check(t, func(t *rapid.T) { caught = faultyRun(t, edit) != nil || caught })
			assert.Assert(t, caught)
		})
	}
}
