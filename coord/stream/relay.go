package stream

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Relay delivers one stream to one caller.
//
// Events are delivered in order of id, each once: a duplicate is dropped, and an
// event after a gap ends its attempt. Events of other attempts than the current
// one are ignored. The stream ends without an error only after the engine's
// terminal event.
type Relay struct {
	opts      Options
	number    int // of the current attempt, from 1
	attempt   Attempt
	opened    bool
	begun     bool
	ended     bool
	maybeSent bool // whether some attempt may have reached an endpoint

	delivered uint64 // id of the last delivered event
	backlog   backlog
	paused    bool
	pausedAt  time.Time // start of the current pause
}

// New returns a Relay.
func New(opts Options) *Relay { return &Relay{opts: opts.withDefaults(), delivered: opts.After} }

// Delivered returns the id of the last delivered event.
func (r *Relay) Delivered() uint64 { return r.delivered }

// Ended reports whether the stream is over.
func (r *Relay) Ended() bool { return r.ended }

// Step handles one event. It returns no effects after the end of the stream.
func (r *Relay) Step(now time.Time, ev Event) []Effect {
	if r.ended {
		return nil
	}
	switch ev := ev.(type) {
	case Begin:
		return r.handleBegin()
	case Opened:
		r.handleOpened(ev)
	case Received:
		return r.handleReceived(now, ev)
	case Broken:
		return r.handleBroken(ev)
	case Consumed:
		return r.handleConsumed(ev.ID)
	case CallerGone:
		r.ended = true
		return r.cancel()
	case Abort:
		return r.fail(ev.Err)
	case Tick:
		return r.handleTick(now)
	}
	return nil
}

func (r *Relay) handleBegin() []Effect {
	if r.begun {
		return nil
	}
	r.begun = true
	return r.openNext()
}

// openNext opens a new attempt for the events after the last delivered one.
func (r *Relay) openNext() []Effect {
	r.number++
	r.attempt = Attempt{ID: fmt.Sprintf("%s/%d", r.opts.Stream, r.number)}
	r.opened = false
	return []Effect{Open{Number: r.number, ID: r.attempt.ID, After: r.delivered}}
}

func (r *Relay) handleOpened(ev Opened) {
	if ev.Number != r.number || r.opened {
		return
	}
	r.opened, r.maybeSent = true, true
	r.attempt.Incarnation = ev.Incarnation
}

func (r *Relay) handleReceived(now time.Time, ev Received) []Effect {
	if !r.opened || ev.Attempt != r.attempt || ev.ID <= r.delivered {
		return nil
	}
	if ev.ID > r.delivered+1 {
		return append(r.cancel(), r.resume()...)
	}
	r.delivered = ev.ID
	effects := []Effect{Deliver{ID: ev.ID, Data: ev.Data, Last: ev.Last}}
	if ev.Last {
		r.ended = true
		return append(effects, End{})
	}
	r.backlog.add(ev.ID, len(ev.Data))
	return append(effects, r.throttle(now)...)
}

// throttle pauses reading when the unconsumed bytes reach PauseBytes, and ends
// the stream with an error when they reach MaxBytes.
func (r *Relay) throttle(now time.Time) []Effect {
	switch {
	case r.backlog.bytes >= r.opts.MaxBytes:
		return r.fail(slowCallerError())
	case r.backlog.bytes >= r.opts.PauseBytes && !r.paused:
		r.paused, r.pausedAt = true, now
		return []Effect{Pause{Number: r.number}}
	}
	return nil
}

func (r *Relay) handleConsumed(id uint64) []Effect {
	r.backlog.consume(id)
	if !r.paused || r.backlog.bytes > r.opts.PauseBytes/2 {
		return nil
	}
	r.paused = false
	return []Effect{Continue{Number: r.number}}
}

func (r *Relay) handleTick(now time.Time) []Effect {
	if r.paused && now.Sub(r.pausedAt) >= r.opts.SlowTimeout {
		return r.fail(slowCallerError())
	}
	return nil
}

func (r *Relay) handleBroken(ev Broken) []Effect {
	if ev.Number != r.number {
		return nil
	}
	if ev.NotSent {
		return r.resume()
	}
	// Cancel the attempt, since the engine may not have noticed that the
	// connection is closed.
	r.maybeSent = true
	return append(r.cancel(), r.resume()...)
}

// resume opens another attempt, or ends the stream with an error after
// MaxResumes.
func (r *Relay) resume() []Effect {
	if r.number <= r.opts.MaxResumes {
		effects := r.openNext()
		if r.paused {
			effects = append(effects, Pause{Number: r.number})
		}
		return effects
	}
	r.ended = true
	return []Effect{End{Err: r.interruptedError()}}
}

// fail cancels the current attempt and ends the stream with an error.
func (r *Relay) fail(err *problem.Error) []Effect {
	r.ended = true
	return append(r.cancel(), End{Err: err})
}

// cancel cancels the current attempt, if there is one.
func (r *Relay) cancel() []Effect {
	if !r.begun {
		return nil
	}
	return []Effect{Cancel{Number: r.number, ID: r.attempt.ID}}
}

// interruptedError returns the error for a stream that ran out of attempts.
func (r *Relay) interruptedError() *problem.Error {
	if !r.maybeSent {
		return problem.New(problem.NoEndpoint, "the request could not be sent to an endpoint", "send it again later")
	}
	message := fmt.Sprintf("the stream broke off after event %d and could not be resumed", r.delivered)
	return problem.New(problem.StreamInterrupted, message, "send the request again").WithRanUnknown()
}

func slowCallerError() *problem.Error {
	return problem.New(problem.StreamInterrupted, "the caller reads too slowly",
		"send the request again and read the stream as it comes").WithRanUnknown()
}
