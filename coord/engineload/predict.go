package engineload

import (
	"math"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// Load is the work at a group.
type Load struct {
	// Answering is the number of requests that are being answered, and Context the
	// mean number of tokens of their prompts and answers so far.
	Answering, Context float64
	// Unread is the number of prompts that are read before that of one more request,
	// and Prompt their mean length in tokens. Unread may be a fraction: the expected
	// number.
	Unread, Prompt float64
	// Waiting is the number of requests that wait for a slot, and SlotInterval the
	// mean time between two slots that become free.
	Waiting      float64
	SlotInterval time.Duration
	// Pace is the pace that the group's VMs report; 0 means 1.
	Pace float64
}

// Expect returns the load that is expected at a group with n requests of the given
// mean prompt and answer in tokens, of which the ones beyond the slots wait. pace
// is the pace that its VMs report; 0 means 1. Only Pace is set if the figures are
// unknown.
func Expect(e *catalog.Engine, m *catalog.Model, n int, prompt, answer, pace float64) Load {
	f := figuresOf(e, m, pace)
	if f.isUnknown {
		return Load{Pace: pace}
	}
	running := min(float64(max(0, n)), f.slots)
	l := Load{
		Answering: running, Context: prompt + answer/2, Prompt: prompt,
		Waiting: float64(max(0, n)) - running, Pace: pace,
	}
	if running == 0 {
		return l
	}
	// Each request is followed by another one. While one is answered, the prompts
	// of all that run are read once, which lengthens its steps. The times are those
	// of a queue with random arrivals and constant service times.
	step := f.stepTime(running, l.Context)
	service := f.readTime(prompt) + step*prompt/f.chunk
	residence := max(answer, eventTokens)*step + running*service
	l.SlotInterval = duration(residence / f.slots)
	utilisation := running * service / residence
	// The number in service and the number that waits for it.
	l.Unread = min(running, utilisation+utilisation*utilisation/(2*(1-utilisation)))
	return l
}

// FirstEvent returns the expected time to the first event of one more request with
// a prompt of the given length at a group with the given load. offset is the
// measured part of that time which the figures don't state, such as that of the
// network. The result is 0 if the figures are unknown.
func FirstEvent(e *catalog.Engine, m *catalog.Model, l Load, prompt float64, offset time.Duration) time.Duration {
	f := figuresOf(e, m, l.Pace)
	if f.isUnknown {
		return 0
	}
	return duration(f.firstEvent(l, prompt) + inMilliseconds(offset))
}

// firstEvent is the time, in ms, until a slot is free, the pass that runs has
// ended, the prompts are read and one event is complete.
func (f *figures) firstEvent(l Load, prompt float64) float64 {
	wait := 0.0
	if l.Waiting > 0 || l.Answering >= f.slots {
		wait = (l.Waiting + 1) * inMilliseconds(l.SlotInterval)
	}
	step := f.stepTime(l.Answering, l.Context)
	if l.Answering > 0 {
		wait += f.stride * step / 2 // a request arrives in the middle of a pass on average
	}
	// Only the request's own steps are rounded to passes: Unread is an expected value.
	steps := f.readingSteps(prompt, l.Answering > 0) + l.Unread*l.Prompt/f.chunk
	reading := steps*step + l.Unread*f.readTime(l.Prompt) + f.readTime(prompt)
	event := f.eventPasses() * f.stride * f.stepTime(l.Answering+1, (l.Context*l.Answering+prompt)/(l.Answering+1))
	return wait + reading + event
}

// Gap returns the time between two events of a request at a group with the given
// load, of which it is a part, while prompts are read there. The result is 0 if the
// figures are unknown.
func Gap(e *catalog.Engine, m *catalog.Model, l Load) time.Duration {
	f := figuresOf(e, m, l.Pace)
	if f.isUnknown {
		return 0
	}
	return duration(f.gap(l))
}

// gap takes the pass to read as much as it may of the unread prompts.
func (f *figures) gap(l Load) float64 {
	passes := f.eventPasses()
	pass := f.stride * f.stepTime(max(1, l.Answering), l.Context)
	unread := l.Unread * l.Prompt
	if unread <= 0 {
		return passes * pass
	}
	part := min(1, passes*f.stride*f.chunk/unread)
	return passes*pass + part*l.Unread*f.readTime(l.Prompt)
}

// ReadTime returns the time to read a number of tokens of a prompt, at the rate of
// reading alone, at a group whose VMs report the given pace. The result is 0 if the
// figures are unknown.
func ReadTime(e *catalog.Engine, m *catalog.Model, tokens int, pace float64) time.Duration {
	f := figuresOf(e, m, pace)
	if f.isUnknown || tokens <= 0 {
		return 0
	}
	return duration(float64(tokens) * f.read)
}

// Workload is the mean request of a model and what is demanded of its times.
type Workload struct {
	// Prompt and Answer are the mean lengths in tokens; 0 stands for those that the
	// configuration states.
	Prompt, Answer float64
	// FirstEvent is the objective for the time to the first event, and Gap the one
	// for the time between events; 0 means none.
	FirstEvent, Gap time.Duration
	// Offset is the measured part of the time to the first event which the figures
	// don't state, such as that of the network.
	Offset time.Duration
}

// Capacity returns the largest number of concurrent requests, from 1 to the slots,
// at which a request meets the objectives. It is the number of slots if the figures
// or the lengths are unknown, and 1 if not even a single request meets the
// objectives.
func Capacity(e *catalog.Engine, m *catalog.Model, w Workload) int {
	if e == nil {
		return 0
	}
	w.Prompt, w.Answer = orElse(w.Prompt, e.MeanPrompt), orElse(w.Answer, e.MeanAnswer)
	if !Known(e, m) || w.Prompt <= 0 || w.Answer <= 0 {
		return e.Slots
	}
	// The times rise with the number of requests. The number of slots is read from
	// the configuration, so that no loop runs over all of them.
	low, high := min(1, e.Slots), e.Slots
	for low < high {
		mid := low + (high-low+1)/2
		if meets(e, m, mid, &w) {
			low = mid
			continue
		}
		high = mid - 1
	}
	return low
}

// meets reports whether each of n requests meets the objectives.
func meets(e *catalog.Engine, m *catalog.Model, n int, w *Workload) bool {
	if w.FirstEvent > 0 {
		others := Expect(e, m, n-1, w.Prompt, w.Answer, 0)
		if FirstEvent(e, m, others, w.Prompt, w.Offset) > w.FirstEvent {
			return false
		}
	}
	if w.Gap <= 0 {
		return true
	}
	all := Expect(e, m, n, w.Prompt, w.Answer, 0)
	all.Unread = max(1, all.Unread) // the gap counts while a prompt is read
	return Gap(e, m, all) <= w.Gap
}

func orElse(value, other float64) float64 {
	if value > 0 && !math.IsInf(value, 0) {
		return value
	}
	return other
}
