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
	// Opened is the response to Open: the attempt was sent to an endpoint with
	// the given incarnation.
	Opened struct {
		Number      int
		Incarnation string
	}
	// Received is one event of an engine's stream.
	Received struct {
		Attempt Attempt
		// ID is the event's number within the whole stream, from 1.
		ID   uint64
		Data []byte
		// Last marks the engine's terminal event.
		Last bool
	}
	// Broken means that an attempt ended without its terminal event or could
	// not be made. NotSent is set if it certainly did not reach an endpoint.
	Broken struct {
		Number  int
		NotSent bool
	}
	// Consumed means that the caller's connection has consumed all events up
	// to an id.
	Consumed struct{ ID uint64 }
	// CallerGone means that the caller has closed its connection.
	CallerGone struct{}
	// Abort ends the stream with an error, such as an exceeded deadline.
	Abort struct{ Err *problem.Error }
	// Tick checks the timers.
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
	// Open requests an attempt with the given id for the events after After,
	// if possible on a group where no earlier attempt of this stream broke.
	Open struct {
		Number int
		ID     string
		After  uint64
	}
	// Deliver sends an event to the caller.
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
	// Pause requests that reading from an attempt stops until Continue.
	Pause struct{ Number int }
	// Continue ends a Pause.
	Continue struct{ Number int }
	// End ends the caller's stream. Err is nil after the terminal event;
	// otherwise it must be sent as an explicit error event. After CallerGone
	// there is no End.
	End struct{ Err *problem.Error }
)

func (Open) effect()     {}
func (Deliver) effect()  {}
func (Cancel) effect()   {}
func (Pause) effect()    {}
func (Continue) effect() {}
func (End) effect()      {}

// Options configures a Relay. Zero MaxResumes, PauseBytes, MaxBytes and
// SlowTimeout mean the defaults.
type Options struct {
	// Stream identifies the request uniquely; attempt ids are derived from it.
	Stream string
	// After is the id of the last event that the caller received before this
	// stream, or 0.
	After uint64
	// MaxResumes is the maximum number of attempts after the first; a negative
	// value allows none.
	MaxResumes int
	// PauseBytes is the number of delivered but unconsumed bytes at which
	// reading pauses.
	PauseBytes int
	// MaxBytes is the number of delivered but unconsumed bytes at which the
	// stream ends with an error.
	MaxBytes int
	// SlowTimeout is the maximum time that reading stays paused before the
	// stream ends with an error.
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
