package stream

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Relay brings one stream to one caller.
//
// Events are delivered in order of id, each once: an id that was delivered is
// dropped, and one that leaves a gap ends its attempt. Only events of the
// present attempt count. The stream ends without an error only after the
// engine's terminal event.
type Relay struct {
	opts    Options
	number  int // of the present attempt, from 1
	attempt Attempt
	opened  bool
	begun   bool
	ended   bool
	sent    bool // some attempt may have reached an endpoint

	last    uint64 // delivered
	backlog backlog
	paused  bool
	since   time.Time // of the pause
}

// New returns a Relay.
func New(opts Options) *Relay { return &Relay{opts: opts.withDefaults(), last: opts.After} }

// Delivered returns the id of the last delivered event.
func (r *Relay) Delivered() uint64 { return r.last }

// Ended reports whether the stream is over.
func (r *Relay) Ended() bool { return r.ended }

// Step handles one event. After the end it has no effects.
func (r *Relay) Step(now time.Time, ev Event) []Effect {
	if r.ended {
		return nil
	}
	switch ev := ev.(type) {
	case Begin:
		return r.begin()
	case Opened:
		r.open(ev)
	case Received:
		return r.received(now, ev)
	case Broken:
		return r.broken(ev)
	case Consumed:
		return r.consumed(ev.ID)
	case CallerGone:
		r.ended = true
		return r.cancel()
	case Abort:
		return r.fail(ev.Err)
	case Tick:
		return r.tick(now)
	}
	return nil
}

func (r *Relay) begin() []Effect {
	if r.begun {
		return nil
	}
	r.begun = true
	return r.next()
}

// next starts an attempt for the events after the last delivered one.
func (r *Relay) next() []Effect {
	r.number++
	r.attempt = Attempt{ID: fmt.Sprintf("%s/%d", r.opts.Stream, r.number)}
	r.opened = false
	return []Effect{Open{Number: r.number, ID: r.attempt.ID, After: r.last}}
}

func (r *Relay) open(ev Opened) {
	if ev.Number != r.number || r.opened {
		return
	}
	r.opened, r.sent = true, true
	r.attempt.Incarnation = ev.Incarnation
}

func (r *Relay) received(now time.Time, ev Received) []Effect {
	if !r.opened || ev.Attempt != r.attempt || ev.ID <= r.last {
		return nil
	}
	if ev.ID > r.last+1 {
		return append(r.cancel(), r.resume()...)
	}
	r.last = ev.ID
	effects := []Effect{Deliver{ID: ev.ID, Data: ev.Data, Last: ev.Last}}
	if ev.Last {
		r.ended = true
		return append(effects, End{})
	}
	r.backlog.add(ev.ID, len(ev.Data))
	return append(effects, r.throttle(now)...)
}

// throttle pauses reading while the caller is slow.
func (r *Relay) throttle(now time.Time) []Effect {
	switch {
	case r.backlog.bytes >= r.opts.MaxBytes:
		return r.fail(slowCaller())
	case r.backlog.bytes >= r.opts.PauseBytes && !r.paused:
		r.paused, r.since = true, now
		return []Effect{Pause{Number: r.number}}
	}
	return nil
}

func (r *Relay) consumed(id uint64) []Effect {
	r.backlog.consume(id)
	if !r.paused || r.backlog.bytes > r.opts.PauseBytes/2 {
		return nil
	}
	r.paused = false
	return []Effect{Continue{Number: r.number}}
}

func (r *Relay) tick(now time.Time) []Effect {
	if r.paused && now.Sub(r.since) >= r.opts.SlowTimeout {
		return r.fail(slowCaller())
	}
	return nil
}

func (r *Relay) broken(ev Broken) []Effect {
	if ev.Number != r.number {
		return nil
	}
	if ev.NotSent {
		return r.resume()
	}
	// The engine may not have noticed that the connection is gone.
	r.sent = true
	return append(r.cancel(), r.resume()...)
}

// resume starts another attempt or ends the stream with an error.
func (r *Relay) resume() []Effect {
	if r.number <= r.opts.MaxResumes {
		effects := r.next()
		if r.paused {
			effects = append(effects, Pause{Number: r.number})
		}
		return effects
	}
	r.ended = true
	return []Effect{End{Err: r.interrupted()}}
}

// fail cancels the present attempt and ends the stream with an error.
func (r *Relay) fail(err *problem.Error) []Effect {
	r.ended = true
	return append(r.cancel(), End{Err: err})
}

func (r *Relay) cancel() []Effect {
	if !r.begun {
		return nil
	}
	return []Effect{Cancel{Number: r.number, ID: r.attempt.ID}}
}

func (r *Relay) interrupted() *problem.Error {
	if !r.sent {
		return problem.New(problem.NoEndpoint, "the request could not be sent to an endpoint", "send it again later")
	}
	message := fmt.Sprintf("the stream broke off after event %d and could not be resumed", r.last)
	return problem.New(problem.StreamInterrupted, message, "send the request again").WithRanUnknown()
}

func slowCaller() *problem.Error {
	return problem.New(problem.StreamInterrupted, "the caller reads too slowly",
		"send the request again and read the stream as it comes").WithRanUnknown()
}
