package engineload

import (
	"math"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// eventTokens is the number of tokens in an event. It is the number of steps in a
// pass where the configuration doesn't state it.
const eventTokens = 5

// figures are the times of an engine under a model, in ms, with all paces applied.
type figures struct {
	step      float64 // per token step
	request   float64 // per step and request that is being answered
	context   float64 // per step and token of context of such a request
	read      float64 // per token of a prompt
	pair      float64 // per pair of a token of a prompt and an earlier one
	chunk     float64 // tokens read in a step at most
	stride    float64 // steps of a pass
	slots     float64
	isUnknown bool
}

// Known reports whether the configuration states what the predictions need: the
// time of a step, the rate of reading and the model's pace. Other times that it
// doesn't state count as zero, and an unstated chunk as unbounded.
func Known(e *catalog.Engine, m *catalog.Model) bool {
	return e != nil && m != nil && e.StepTime > 0 && e.ReadRate > 0 && m.Pace > 0
}

// figuresOf returns the figures of an engine under a model whose VMs report the
// given pace; 0 means that they have reported none.
func figuresOf(e *catalog.Engine, m *catalog.Model, reported float64) figures {
	if !Known(e, m) {
		return figures{isUnknown: true}
	}
	pace := m.Pace * max(1, reported)
	f := figures{
		step:    pace * inMilliseconds(e.StepTime),
		request: pace * inMilliseconds(e.RequestTime),
		context: pace * inMilliseconds(e.ContextTime) / 1e3,
		read:    pace * 1e3 / e.ReadRate,
		pair:    pace * inMilliseconds(e.PairTime) / 1e6,
		chunk:   math.Inf(1),
		stride:  eventTokens,
		slots:   float64(max(1, e.Slots)),
	}
	if e.Chunk > 0 {
		f.chunk = float64(e.Chunk)
	}
	if e.Stride > 0 {
		f.stride = float64(e.Stride)
	}
	return f
}

// stepTime returns the time of a step in which n requests with the given mean
// context are being answered.
func (f *figures) stepTime(n, context float64) float64 {
	return f.step + n*(f.request+f.context*context)
}

// readTime returns the time to read a prompt, without that of the steps.
func (f *figures) readTime(tokens float64) float64 {
	return tokens*f.read + f.pair*tokens*tokens/2
}

// eventPasses is the number of passes that an event takes.
func (f *figures) eventPasses() float64 { return math.Ceil(eventTokens / f.stride) }

// readingSteps returns the number of steps in which a number of prompt tokens is
// read: whole passes if other requests are being answered.
func (f *figures) readingSteps(tokens float64, answering bool) float64 {
	steps := max(1, math.Ceil(tokens/f.chunk))
	if answering {
		steps = math.Ceil(steps/f.stride) * f.stride
	}
	return steps
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration converts a time in ms, which may be too long for a time.Duration.
func duration(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	if !(ns < math.MaxInt64) {
		return math.MaxInt64
	}
	return time.Duration(ns)
}
