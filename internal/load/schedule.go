package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the time since the start of the run.
	At      time.Duration
	Account int // index of Workload.Accounts
	// IsOrder is true for an order and false for a chat completion.
	IsOrder bool
	// Prompt and AnswerTokens are set for chat completions.
	Prompt       string
	AnswerTokens int
	// OrderID is set for orders and is unique within the schedule.
	OrderID string
}

var promptWords = []string{
	"which", "glove", "size", "fits", "vellum", "storage", "condition", "of", "the", "box", "toy", "parrot", "safe", "supply", "history", "report",
}

// Schedule returns the arrivals of a workload. It is deterministic: the same
// workload always gives the same schedule.
func Schedule(w Workload) []Arrival {
	s := &scheduler{workload: w, rng: rand.New(rand.NewPCG(uint64(w.Seed), 0))}
	for _, a := range w.Accounts {
		s.totalShares += a.Share
	}
	return s.run()
}

type scheduler struct {
	workload    Workload
	rng         *rand.Rand
	totalShares int
}

// run generates the arrivals phase by phase. An interval that extends into the
// next phase is drawn again there at the new rate, which is valid because a
// Poisson process is memoryless.
func (s *scheduler) run() []Arrival {
	var arrivals []Arrival
	var now time.Duration
	burst := false
	phaseEnd := s.endOfPhase(0, burst)
	for len(arrivals) < s.workload.MaxRequests {
		next := now + s.exponential(time.Duration(float64(time.Second)/s.rate(burst)))
		switch {
		case next >= s.workload.Duration && phaseEnd >= s.workload.Duration:
			return arrivals
		case next >= phaseEnd:
			now = phaseEnd
			burst = !burst
			phaseEnd = s.endOfPhase(now, burst)
		default:
			now = next
			arrivals = append(arrivals, s.newArrival(now, len(arrivals)))
		}
	}
	return arrivals
}

func (s *scheduler) rate(burst bool) float64 {
	if burst {
		return s.workload.Arrivals.BurstRate
	}
	return s.workload.Arrivals.Rate
}

// endOfPhase returns the end of a phase that begins at start.
func (s *scheduler) endOfPhase(start time.Duration, burst bool) time.Duration {
	a := s.workload.Arrivals
	switch {
	case a.Burst == 0:
		return s.workload.Duration
	case burst:
		return start + s.exponential(a.Burst)
	default:
		return start + s.exponential(a.Calm)
	}
}

// exponential draws an exponentially distributed duration of at least 1 ns.
func (s *scheduler) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64()*float64(mean)) + 1
}

func (s *scheduler) newArrival(at time.Duration, index int) Arrival {
	w := s.workload
	a := Arrival{At: at, Account: s.randomAccount(), IsOrder: s.rng.IntN(100) < w.Orders.Percent}
	if a.IsOrder {
		a.OrderID = fmt.Sprintf("load-%d-%d", w.Seed, index)
		return a
	}
	a.Prompt = s.randomPrompt(randomBetween(s.rng, w.Chat.MinPromptWords, w.Chat.MaxPromptWords))
	a.AnswerTokens = randomBetween(s.rng, w.Chat.MinAnswerTokens, w.Chat.MaxAnswerTokens)
	return a
}

// randomAccount draws an account with a probability proportional to its share,
// and returns its index.
func (s *scheduler) randomAccount() int {
	n := s.rng.IntN(s.totalShares)
	for i, a := range s.workload.Accounts {
		if n -= a.Share; n < 0 {
			return i
		}
	}
	return 0
}

func (s *scheduler) randomPrompt(words int) string {
	parts := make([]string, words)
	for i := range parts {
		parts[i] = promptWords[s.rng.IntN(len(promptWords))]
	}
	return strings.Join(parts, " ")
}

// randomBetween draws a number from low to high, both included.
func randomBetween(rng *rand.Rand, low, high int) int {
	return low + rng.IntN(high-low+1)
}
