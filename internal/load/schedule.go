package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the time since the start.
	At      time.Duration
	Account int // index of Workload.Accounts
	// IsOrder tells an order from a chat completion.
	IsOrder bool
	// Prompt and AnswerTokens are those of a chat completion.
	Prompt       string
	AnswerTokens int
	// OrderID is unique to the schedule.
	OrderID string
}

var promptWords = []string{
	"which", "glove", "size", "fits", "vellum", "storage", "condition", "of", "the", "box", "toy", "parrot", "safe", "supply", "history", "report",
}

// Schedule returns the arrivals of a workload. The same workload gives the
// same schedule.
func Schedule(w Workload) []Arrival {
	s := &scheduler{workload: w, random: rand.New(rand.NewPCG(uint64(w.Seed), 0))}
	for _, a := range w.Accounts {
		s.shares += a.Share
	}
	return s.run()
}

type scheduler struct {
	workload Workload
	random   *rand.Rand
	shares   int
}

// run walks through the phases. An interval drawn at one rate that reaches
// into the next phase is drawn anew there, which a memoryless process allows.
func (s *scheduler) run() []Arrival {
	var arrivals []Arrival
	var now time.Duration
	burst := false
	phaseEnd := s.phase(0, burst)
	for len(arrivals) < s.workload.MaxRequests {
		next := now + s.exponential(time.Duration(float64(time.Second)/s.rate(burst)))
		switch {
		case next >= s.workload.Duration && phaseEnd >= s.workload.Duration:
			return arrivals
		case next >= phaseEnd:
			now = phaseEnd
			burst = !burst
			phaseEnd = s.phase(now, burst)
		default:
			now = next
			arrivals = append(arrivals, s.arrival(now, len(arrivals)))
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

// phase returns the end of a phase that begins at a time.
func (s *scheduler) phase(start time.Duration, burst bool) time.Duration {
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

func (s *scheduler) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64()*float64(mean)) + 1
}

func (s *scheduler) arrival(at time.Duration, index int) Arrival {
	w := s.workload
	a := Arrival{At: at, Account: s.account(), IsOrder: s.random.IntN(100) < w.Orders.Percent}
	if a.IsOrder {
		a.OrderID = fmt.Sprintf("load-%d-%d", w.Seed, index)
		return a
	}
	a.Prompt = s.prompt(between(s.random, w.Chat.MinPromptWords, w.Chat.MaxPromptWords))
	a.AnswerTokens = between(s.random, w.Chat.MinAnswerTokens, w.Chat.MaxAnswerTokens)
	return a
}

// account draws an account by its share.
func (s *scheduler) account() int {
	n := s.random.IntN(s.shares)
	for i, a := range s.workload.Accounts {
		if n -= a.Share; n < 0 {
			return i
		}
	}
	return 0
}

func (s *scheduler) prompt(words int) string {
	parts := make([]string, words)
	for i := range parts {
		parts[i] = promptWords[s.random.IntN(len(promptWords))]
	}
	return strings.Join(parts, " ")
}

func between(random *rand.Rand, low, high int) int {
	return low + random.IntN(high-low+1)
}
