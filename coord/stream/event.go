package stream

import (
	"cmp"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Event is an input of Relay.Step.
type Event interface{ event() }

// Events of a Relay.
type (
	// Begin starts the stream.
	Begin struct{}
	// Opened answers Open: the attempt was sent to an endpoint of the
	// incarnation.
	Opened struct {
		Number      int
		Incarnation string
	}
	// Received is one event of an engine's stream.
	Received struct {
		Attempt Attempt
		// ID numbers the events of the whole stream from 1.
		ID   uint64
		Data []byte
		// Last marks the engine's terminal event.
		Last bool
	}
	// Broken says that an attempt ended without its terminal event, or could
	// not be made. NotSent says that it certainly did not reach an endpoint.
	Broken struct {
		Number  int
		NotSent bool
	}
	// Consumed says that the caller's connection has taken all events up to
	// an id.
	Consumed struct{ ID uint64 }
	// CallerGone says that the caller has closed its connection.
	CallerGone struct{}
	// Abort ends the stream with an error, such as a passed deadline.
	Abort struct{ Err *problem.Error }
	// Tick runs the timers.
	Tick struct{}
)

func (Begin) event()      {}
func (Opened) event()     {}
func (Received) event()   {}
func (Broken) event()     {}
func (Consumed) event()   {}
func (CallerGone) event() {}
func (Abort) event()      {}
func (Tick) event()       {}

// Effect is an output of Relay.Step for the embedding program to carry out.
type Effect interface{ effect() }

// Effects of a Relay.
type (
	// Open asks for an attempt with the id, for the events after After, on a
	// group that no earlier attempt of this stream broke on, if there is one.
	Open struct {
		Number int
		ID     string
		After  uint64
	}
	// Deliver passes an event to the caller.
	Deliver struct {
		ID   uint64
		Data []byte
		Last bool
	}
	// Cancel asks the engine to stop an attempt.
	Cancel struct {
		Number int
		ID     string
	}
	// Pause asks to read no more of an attempt for now.
	Pause struct{ Number int }
	// Continue ends a Pause.
	Continue struct{ Number int }
	// End ends the stream towards the caller. Err is nil after the terminal
	// event, and else must be sent as an explicit error event. There is no End
	// towards a caller that has gone.
	End struct{ Err *problem.Error }
)

func (Open) effect()     {}
func (Deliver) effect()  {}
func (Cancel) effect()   {}
func (Pause) effect()    {}
func (Continue) effect() {}
func (End) effect()      {}

// Options configures a Relay. Zero fields take the defaults.
type Options struct {
	// Stream is unique to the request; attempt ids are made from it.
	Stream string
	// After is the last event that the caller has had before this stream.
	After uint64
	// MaxResumes bounds the attempts after the first; negative allows none.
	MaxResumes int
	// PauseBytes is the number of delivered bytes that the caller has not
	// taken at which reading pauses.
	PauseBytes int
	// MaxBytes is the number of such bytes at which the stream is given up.
	MaxBytes int
	// SlowTimeout is how long reading may stay paused.
	SlowTimeout time.Duration
}

// Defaults of Options.
const (
	DefaultMaxResumes  = 3
	DefaultPauseBytes  = 64 << 10
	DefaultMaxBytes    = 128 << 10
	DefaultSlowTimeout = 30 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxResumes = cmp.Or(o.MaxResumes, DefaultMaxResumes)
	o.PauseBytes = cmp.Or(o.PauseBytes, DefaultPauseBytes)
	o.MaxBytes = cmp.Or(o.MaxBytes, DefaultMaxBytes)
	o.SlowTimeout = cmp.Or(o.SlowTimeout, DefaultSlowTimeout)
	return o
}
