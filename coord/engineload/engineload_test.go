package engineload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// testEngine returns an engine whose capacity is well below its slots under tight
// objectives, and its two models.
func testEngine() (e *catalog.Engine, small, large *catalog.Model) {
	e = &catalog.Engine{
		Slots: 34, MeanPrompt: 1076, MeanAnswer: 116,
		StepTime: 6 * time.Millisecond, RequestTime: 200 * time.Microsecond, ContextTime: 50 * time.Microsecond,
		ReadRate: 46000, PairTime: time.Millisecond, Chunk: 512, Stride: 5,
		Models: []catalog.Model{{Name: "small", GroupSize: 4, Pace: 0.6}, {Name: "large", GroupSize: 8, Pace: 1}},
	}
	return e, &e.Models[0], &e.Models[1]
}

// Guards against a wrong unit or a missing term: the time of an idle engine can be
// computed by hand.
func TestFirstEventOfIdleEngine(t *testing.T) {
	e, small, large := testEngine()
	// Three steps read 1,200 tokens in 26.087 ms and 0.72 million pairs; five more
	// give the event.
	step, last := 6.0, 6.0+0.2+0.05*1.2
	want := 3*step + 1200/46.0 + 0.72 + 5*last
	got := FirstEvent(e, large, Load{}, 1200, 0)
	assert.Assert(t, math.Abs(inMilliseconds(got)-want) < 0.001, "%v, want %v ms", got, want)
	assert.Assert(t, math.Abs(inMilliseconds(FirstEvent(e, small, Load{}, 1200, 0))-0.6*want) < 0.001)
	assert.Assert(t, math.Abs(inMilliseconds(FirstEvent(e, large, Load{Pace: 3}, 1200, 0))-3*want) < 0.001)
	assert.Equal(t, FirstEvent(e, large, Load{}, 1200, 120*time.Millisecond), got+120*time.Millisecond)
	assert.Equal(t, ReadTime(e, large, 460, 2), 20*time.Millisecond)
}

// Guards against zero or infinite capacities from a configuration without figures.
func TestUnknownFiguresGiveTheSlots(t *testing.T) {
	w := Workload{Prompt: 1000, Answer: 100, FirstEvent: time.Millisecond, Gap: time.Millisecond}
	for name, change := range map[string]func(e *catalog.Engine, m *catalog.Model, w *Workload){
		"no step time": func(e *catalog.Engine, _ *catalog.Model, _ *Workload) { e.StepTime = 0 },
		"no read rate": func(e *catalog.Engine, _ *catalog.Model, _ *Workload) { e.ReadRate = 0 },
		"no pace":      func(_ *catalog.Engine, m *catalog.Model, _ *Workload) { m.Pace = 0 },
		"no prompt":    func(e *catalog.Engine, _ *catalog.Model, w *Workload) { e.MeanPrompt, w.Prompt = 0, 0 },
		"no answer":    func(e *catalog.Engine, _ *catalog.Model, w *Workload) { e.MeanAnswer, w.Answer = 0, math.NaN() },
		"no objective": func(_ *catalog.Engine, _ *catalog.Model, w *Workload) { w.FirstEvent, w.Gap = 0, 0 },
	} {
		e, _, large := testEngine()
		w := w
		change(e, large, &w)
		assert.Check(t, Capacity(e, large, w) == 34, name)
	}
	e, _, large := testEngine()
	assert.Equal(t, Capacity(e, nil, w), 34)
	assert.Equal(t, Capacity(nil, large, w), 0)
	assert.Equal(t, Capacity(e, large, w), 1, "objectives that no request meets")
	e.Slots = 0
	assert.Equal(t, Capacity(e, large, w), 0)
	assert.Equal(t, FirstEvent(e, nil, Load{}, 1, time.Second), time.Duration(0))
	assert.Equal(t, Gap(nil, large, Load{}), time.Duration(0))
}

// Guards against a capacity that rises under tighter objectives or longer requests,
// or that the search misses because the times don't rise with the load.
func TestCapacityIsTheLargestLoadThatMeetsTheObjectives(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		e, _, large := testEngine()
		e.StepTime = time.Duration(1 + rng.IntN(2e7))
		e.RequestTime = time.Duration(rng.IntN(1e6))
		e.ContextTime = time.Duration(rng.IntN(1e6))
		e.PairTime = time.Duration(rng.IntN(5e6))
		e.ReadRate = 1000 + 50000*rng.Float64()
		e.Chunk, e.Stride, e.Slots = rng.IntN(1000), rng.IntN(9), 1+rng.IntN(60)
		w := Workload{
			Prompt: 1 + 4000*rng.Float64(), Answer: 1 + 400*rng.Float64(),
			FirstEvent: time.Duration(rng.IntN(2e9)), Gap: time.Duration(rng.IntN(5e8)), Offset: time.Duration(rng.IntN(2e8)),
		}
		got := Capacity(e, large, w)
		assert.Assert(t, got >= 1 && got <= e.Slots)
		for n := 1; n <= e.Slots; n++ {
			assert.Assert(t, meets(e, large, n, &w) == (n <= got) || n == 1 && got == 1, "%d of capacity %d: %+v %+v", n, got, e, w)
		}
		tighter := w
		tighter.FirstEvent, tighter.Prompt = w.FirstEvent/2+1, w.Prompt*2
		assert.Assert(t, w.FirstEvent == 0 || Capacity(e, large, tighter) <= got)
	}
}

// Guards against a loop over the slots, or an overflow, with numbers at the bounds
// of a configuration.
func TestFiguresAtTheBounds(t *testing.T) {
	const most = 1 << 30
	e := &catalog.Engine{
		Slots: most, StepTime: 720 * time.Hour, RequestTime: 720 * time.Hour, ContextTime: 720 * time.Hour, ReadRate: 1e-300,
		PairTime: 720 * time.Hour, Chunk: 1, Stride: most,
	}
	m := &catalog.Model{Pace: most}
	w := Workload{Prompt: most, Answer: most, FirstEvent: time.Hour, Gap: time.Hour}
	assert.Equal(t, Capacity(e, m, w), 1)
	l := Expect(e, m, math.MaxInt, most, most, 1000)
	assert.Equal(t, FirstEvent(e, m, l, most, 0), time.Duration(math.MaxInt64))
	assert.Equal(t, Gap(e, m, l), time.Duration(math.MaxInt64))
	e.StepTime, e.RequestTime, e.ContextTime, e.ReadRate, e.PairTime, e.Chunk, m.Pace = 1, 0, 0, most, 0, 0, 1
	assert.Equal(t, Capacity(e, m, Workload{Prompt: 1, Answer: 1, Gap: 720 * time.Hour}), most)
}

// simulate runs an engine pass by pass with n requests, each of which is followed
// by another one. It returns the mean time to the first event and the mean gap.
func simulate(e *catalog.Engine, n int, prompt, answer float64, rng *rand.Rand) (first, gap float64) {
	type request struct{ unread, read, left, arrived float64 }
	f := figuresOf(e, &catalog.Model{Pace: 1}, 1)
	var now, firsts, firstSum, gaps, gapSum float64
	lastEvent := make(map[*request]float64)
	var queue, answering []*request
	arrive := func(at float64) {
		length := prompt * (0.5 + rng.Float64())
		queue = append(queue, &request{unread: length, read: 0, left: answer * (0.5 + rng.Float64()), arrived: at})
	}
	for range n {
		arrive(0)
	}
	warm := 200.0 * answer * f.step // until the requests are out of phase
	for now < 20*warm {
		steps := f.stride
		if len(answering) == 0 {
			steps = 1
		}
		context := 0.0
		for _, r := range answering {
			context += r.read
		}
		room, took := steps*f.chunk, steps*(f.step+float64(len(answering))*f.request+f.context*context)
		var ready []*request
		for room > 0 && len(queue) > 0 {
			r := queue[0]
			part := min(room, r.unread)
			took += part*f.read + f.pair*part*(r.read+part/2)
			room, r.unread, r.read = room-part, r.unread-part, r.read+part
			if r.unread <= 0 {
				ready, queue = append(ready, r), queue[1:]
			}
		}
		now += took
		kept := answering[:0]
		for _, r := range answering {
			last, begun := lastEvent[r]
			switch {
			case r.arrived <= warm:
			case begun:
				gaps, gapSum = gaps+1, gapSum+now-last
			default:
				firsts, firstSum = firsts+1, firstSum+now-r.arrived
			}
			lastEvent[r] = now
			r.left, r.read = r.left-eventTokens, r.read+eventTokens
			if r.left > 0 {
				kept = append(kept, r)
				continue
			}
			delete(lastEvent, r)
			arrive(now - took*rng.Float64()) // a new caller's request arrives at any time in a pass
		}
		kept = append(kept, ready...)
		answering = kept
	}
	return firstSum / firsts, gapSum / gaps
}

// Guards against a prediction that misses how passes, reading and load affect each
// other: it must agree with a simulation of the passes within a factor of 1.5.
func TestPredictionAgreesWithSimulatedPasses(t *testing.T) {
	e, _, large := testEngine()
	for _, c := range []struct {
		n              int
		prompt, answer float64
	}{{1, 1076, 116}, {5, 1076, 116}, {15, 1076, 116}, {30, 1076, 116}, {10, 4000, 116}, {25, 300, 60}, {30, 2500, 200}} {
		first, gap := simulate(e, c.n, c.prompt, c.answer, rand.New(rand.NewPCG(7, uint64(c.n))))
		check := func(what string, predicted time.Duration, simulated float64) {
			got := inMilliseconds(predicted)
			t.Logf("%+v: %s predicted %.0f ms, simulated %.0f ms", c, what, got, simulated)
			assert.Check(t, got > simulated/1.5 && got < simulated*1.5, "%+v: %s", c, what)
		}
		check("first event", FirstEvent(e, large, Expect(e, large, c.n-1, c.prompt, c.answer, 0), c.prompt, 0), first)
		check("gap", Gap(e, large, Expect(e, large, c.n, c.prompt, c.answer, 0)), gap)
	}
}
