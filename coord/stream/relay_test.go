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

// newOpenedRelay returns a relay with its first attempt open, and the attempt.
func newOpenedRelay(opts Options) (*Relay, Attempt) {
	opts.Stream = "s"
	r := New(opts)
	open := r.Step(epoch, Begin{})[0].(Open)
	r.Step(epoch, Opened{Number: open.Number, Incarnation: "i1"})
	return r, Attempt{open.ID, "i1"}
}

func TestResumeAfterBreak(t *testing.T) {
	r, a := newOpenedRelay(Options{})
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: a, ID: 1, Data: []byte("x")}),
		[]Effect{Deliver{ID: 1, Data: []byte("x")}})
	assert.DeepEqual(t, r.Step(epoch, Broken{Number: 1}),
		[]Effect{Cancel{Number: 1, ID: "s/1"}, Open{Number: 2, ID: "s/2", After: 1}})
	assert.Equal(t, len(r.Step(epoch, Broken{Number: 1})), 0, "reported twice")
	r.Step(epoch, Opened{Number: 2, Incarnation: "i2"})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: a, ID: 2})), 0, "late")
	b := Attempt{"s/2", "i2"}
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: b, ID: 1})), 0, "doubled")
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: b, ID: 2, Last: true}),
		[]Effect{Deliver{ID: 2, Last: true}, End{}})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: b, ID: 3})), 0)
}

func TestGapResumes(t *testing.T) {
	r, a := newOpenedRelay(Options{})
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
	r, a := newOpenedRelay(opts)
	two := []byte("xx")
	r.Step(epoch, Received{Attempt: a, ID: 1, Data: two})
	assert.DeepEqual(t, r.Step(epoch, Received{Attempt: a, ID: 2, Data: two})[1], Effect(Pause{Number: 1}))
	assert.DeepEqual(t, r.Step(epoch, Consumed{ID: 1}), []Effect{Continue{Number: 1}})
	r.Step(epoch, Received{Attempt: a, ID: 3, Data: two})
	effects := r.Step(epoch.Add(DefaultSlowTimeout), Tick{})
	assert.DeepEqual(t, effects[0], Effect(Cancel{Number: 1, ID: "s/1"}))
	assert.Equal(t, effects[1].(End).Err.Kind, problem.StreamInterrupted)

	r, a = newOpenedRelay(opts)
	for id := uint64(1); !r.Ended(); id++ {
		assert.Assert(t, id <= 4, "MaxBytes was exceeded")
		r.Step(epoch, Received{Attempt: a, ID: id, Data: two})
	}
}

func TestCallerGoneCancelsAtEngine(t *testing.T) {
	r, a := newOpenedRelay(Options{})
	assert.DeepEqual(t, r.Step(epoch, CallerGone{}), []Effect{Cancel{Number: 1, ID: a.ID}})
	assert.Equal(t, len(r.Step(epoch, Received{Attempt: a, ID: 1})), 0)
}

func TestAbort(t *testing.T) {
	r, a := newOpenedRelay(Options{})
	err := problem.New(problem.DeadlineExceeded, "late", "retry")
	assert.DeepEqual(t, r.Step(epoch, Abort{err}), []Effect{Cancel{Number: 1, ID: a.ID}, End{Err: err}})
}

// runWithFaults runs a stream with random faults: engines break off, duplicate,
// skip or misdirect events, restart, and end without the terminal event. edit
// may change each event before the relay handles it. The result is an error if
// the caller received anything but a prefix of its stream, or if the stream
// ended without an error before it was complete.
func runWithFaults(t *rapid.T, edit func(*Relay, Event) Event) error {
	length := rapid.Uint64Range(1, 12).Draw(t, "length")
	r := New(Options{Stream: "s", MaxResumes: 4})
	caller := &fakeCaller{length: length}
	step := func(ev Event) { caller.apply(r.Step(epoch, edit(r, ev))) }
	step(Begin{})
	for range 80 {
		if r.Ended() || caller.err != nil {
			break
		}
		step(drawEvent(t, r, caller, length))
	}
	return caller.check(r)
}

// eventData returns the data of an event, which differs between streams.
func eventData(stream string, id uint64) []byte { return fmt.Appendf(nil, "%s-%d", stream, id) }

// drawEvent returns a random event, mostly the next one of the current attempt.
func drawEvent(t *rapid.T, r *Relay, c *fakeCaller, length uint64) Event {
	if !r.opened {
		return Opened{Number: r.number, Incarnation: fmt.Sprint("i", r.number)}
	}
	next := Received{Attempt: r.attempt, ID: c.next(), Data: eventData("s", c.next()), Last: c.next() == length}
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		return Broken{Number: r.number}
	case 1:
		return Broken{Number: rapid.IntRange(0, r.number).Draw(t, "number")}
	case 2: // an event of another caller's stream
		return Received{Attempt: Attempt{"other/1", r.attempt.Incarnation}, ID: next.ID, Data: eventData("other", next.ID)}
	case 3: // a late event of an earlier attempt that generated other data
		return Received{Attempt: Attempt{fmt.Sprintf("s/%d", r.number-1), "i0"}, ID: next.ID, Data: eventData("late", next.ID)}
	case 4: // the endpoint has restarted
		return Received{Attempt: Attempt{r.attempt.ID, "new"}, ID: next.ID, Data: eventData("new", next.ID)}
	case 5: // a gap
		next.ID += 2
		next.Data, next.Last = eventData("s", next.ID), next.ID >= length
	case 6: // a duplicate
		next.ID = max(next.ID, 2) - 1
		next.Data, next.Last = eventData("s", next.ID), next.ID == length
	}
	return next
}

// fakeCaller checks the effects of a relay.
type fakeCaller struct {
	length   uint64
	received uint64
	ended    bool
	complete bool
	err      error
}

func (c *fakeCaller) next() uint64 { return c.received + 1 }

func (c *fakeCaller) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Deliver:
			if e.ID != c.next() || string(e.Data) != string(eventData("s", c.next())) {
				c.err = fmt.Errorf("event %d with %q follows event %d", e.ID, e.Data, c.received)
			}
			c.received++
		case End:
			if c.ended {
				c.err = errors.New("ended twice")
			}
			c.ended, c.complete = true, e.Err == nil
		}
	}
}

func (c *fakeCaller) check(r *Relay) error {
	switch {
	case c.err != nil:
		return c.err
	case c.ended != r.Ended():
		return errors.New("the relay's end and the caller's differ")
	case c.complete && c.received != c.length:
		return fmt.Errorf("ended without an error after %d of %d events", c.received, c.length)
	}
	return nil
}

func TestCallerGetsWholeStreamOrError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, runWithFaults(t, func(_ *Relay, ev Event) Event { return ev }))
	})
}

// TestEachCheckIsNeeded verifies that TestCallerGetsWholeStreamOrError fails if
// any one of the relay's checks is disabled.
func TestEachCheckIsNeeded(t *testing.T) {
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
		"event id":    received(func(r *Relay, e *Received) { e.ID = r.delivered + 1 }),
		"terminal event": func(r *Relay, ev Event) Event {
			if e, ok := ev.(Broken); ok && e.Number == r.number {
				return Received{Attempt: r.attempt, ID: r.delivered + 1, Data: eventData("s", r.delivered+1), Last: true}
			}
			return ev
		},
	}
	for name, edit := range variants {
		t.Run(name, func(t *testing.T) {
			caught := false
			rapid.Check(t, func(t *rapid.T) { caught = runWithFaults(t, edit) != nil || caught })
			assert.Assert(t, caught)
		})
	}
}
