// Package load is an open-loop load generator: it sends requests at the times
// of a seeded schedule, regardless of how slow the answers are, and checks that
// each answer is complete and correct.
package load

import (
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// Bounds of a workload.
const (
	maxRequests = 1_000_000
	maxDuration = time.Hour
	minPhase    = time.Millisecond
	// minRate and maxRate are in requests per second.
	minRate = 0.001
	maxRate = 1e6
)

// Workload is the settings file of the load generator.
type Workload struct {
	// Seed determines the schedule.
	Seed int64 `toml:"seed"`
	// URLs are the addresses at which entry VMs serve callers, used in turn.
	URLs []string `toml:"urls"`
	// Duration and MaxRequests limit the schedule.
	Duration    time.Duration `toml:"duration"`
	MaxRequests int           `toml:"max_requests"`
	// MaxOutstanding limits the requests in flight; arrivals above it are
	// counted as not sent.
	MaxOutstanding int `toml:"max_outstanding"`
	// Deadline is how long each request may take. It is sent in the header
	// Request-Timeout.
	Deadline time.Duration `toml:"deadline"`
	Arrivals Arrivals      `toml:"arrivals"`
	Accounts []Account     `toml:"accounts"`
	Chat     Chat          `toml:"chat"`
	Orders   Orders        `toml:"orders"`
	// Engines and Services are the base URLs of the stand-ins whose counts the
	// report includes. They are optional.
	Engines  []string `toml:"engines"`
	Services []string `toml:"services"`
}

// Arrivals describes a Poisson process whose rate alternates between two
// values. Each phase lasts for an exponentially distributed time.
type Arrivals struct {
	// Rate and BurstRate are requests per second.
	Rate      float64 `toml:"rate"`
	BurstRate float64 `toml:"burst_rate"`
	// Calm and Burst are the mean lengths of the two phases. There are no
	// bursts if Burst is 0.
	Calm  time.Duration `toml:"calm"`
	Burst time.Duration `toml:"burst"`
}

// Account is a client account with its share of the arrivals.
type Account struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
	// Share is relative to the shares of the other accounts.
	Share int `toml:"share"`
}

// Chat describes streamed chat completions. Lengths are uniform between
// their bounds.
type Chat struct {
	Model           string `toml:"model"`
	MinPromptWords  int    `toml:"min_prompt_words"`
	MaxPromptWords  int    `toml:"max_prompt_words"`
	MinAnswerTokens int    `toml:"min_answer_tokens"`
	MaxAnswerTokens int    `toml:"max_answer_tokens"`
}

// Orders describes requests to a plain service that must not be repeated.
type Orders struct {
	// Percent is the percentage of arrivals that are orders.
	Percent int    `toml:"percent"`
	Service string `toml:"service"`
}

// DefaultWorkload returns the values of keys that a workload file omits.
func DefaultWorkload() Workload {
	return Workload{
		Seed: 1, Duration: 10 * time.Second, MaxRequests: 10_000, MaxOutstanding: 2_000, Deadline: 10 * time.Second,
		Arrivals: Arrivals{Rate: 20, Calm: 4 * time.Second},
		Chat:     Chat{MinPromptWords: 20, MaxPromptWords: 200, MinAnswerTokens: 10, MaxAnswerTokens: 60},
	}
}

// ReadWorkload reads and parses the workload file at path. The error is a
// *settings.Error unless the file can't be read.
func ReadWorkload(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, errors.Annotate(err, "reading workload; name a file that exists")
	}
	return ParseWorkload(path, data)
}

// ParseWorkload parses a workload from data. file is its name in errors.
func ParseWorkload(file string, data []byte) (Workload, error) {
	w := DefaultWorkload()
	if err := settings.Decode(file, data, &w); err != nil {
		return Workload{}, err
	}
	return w, nil
}

type validator struct {
	faults []inventory.Fault
}

// check records a fault for key if ok is false.
func (v *validator) check(ok bool, key, problem, remedy string) {
	if !ok {
		v.faults = append(v.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
	}
}

// Validate returns a fault for every invalid value of the workload.
func (w *Workload) Validate() []inventory.Fault {
	v := &validator{}
	v.check(len(w.URLs) > 0, "urls", "is empty", "list the caller URL of at least one entry VM")
	v.checkHTTPURLs("urls", w.URLs)
	v.checkHTTPURLs("engines", w.Engines)
	v.checkHTTPURLs("services", w.Services)
	v.check(w.Duration > 0 && w.Duration <= maxDuration, "duration", fmt.Sprintf("is not between 0 and %s", maxDuration), `set a duration as "30s"`)
	v.check(w.MaxRequests > 0 && w.MaxRequests <= maxRequests, "max_requests", fmt.Sprintf("is not between 1 and %d", maxRequests), "set the largest number of requests")
	v.check(w.MaxOutstanding > 0, "max_outstanding", "is below 1", "set the largest number of requests that wait for answers")
	v.check(w.Deadline > 0, "deadline", "is not above zero", `set a duration as "10s"`)
	w.Arrivals.validate(v)
	w.validateAccounts(v)
	w.Chat.validate(v, w.Orders)
	w.Orders.validate(v)
	return v.faults
}

func (v *validator) checkHTTPURLs(key string, urls []string) {
	for i, raw := range urls {
		u, err := url.Parse(raw)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
		v.check(ok, fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q is not an HTTP URL", raw), "write it as http://10.0.0.1:8080")
	}
}

func (a Arrivals) validate(v *validator) {
	v.checkRate("arrivals.rate", a.Rate)
	if a.Burst == 0 {
		return
	}
	v.checkPhase("arrivals.burst", a.Burst)
	v.checkPhase("arrivals.calm", a.Calm)
	v.checkRate("arrivals.burst_rate", a.BurstRate)
}

func (v *validator) checkRate(key string, rate float64) {
	ok := rate >= minRate && rate <= maxRate
	v.check(ok, key, fmt.Sprintf("is not between %g and %g", minRate, maxRate), "set the requests per second")
}

func (v *validator) checkPhase(key string, mean time.Duration) {
	ok := mean >= minPhase && mean <= maxDuration
	v.check(ok, key, fmt.Sprintf("is not between %s and %s", minPhase, maxDuration), `set a mean length as "2s"`)
}

func (w *Workload) validateAccounts(v *validator) {
	v.check(len(w.Accounts) > 0, "accounts", "is empty", "name at least one client account with its key")
	seen := map[string]bool{}
	for i, a := range w.Accounts {
		key := fmt.Sprintf("accounts[%d]", i)
		v.check(a.Name != "", key+".name", "is empty", "name the client account")
		v.check(!seen[a.Name], key+".name", fmt.Sprintf("%q appears twice", a.Name), "remove one of them")
		v.check(a.Key != "", key+".key", "is empty", "set the account's bearer key")
		v.check(a.Share > 0, key+".share", "is below 1", "set the account's share of the arrivals")
		seen[a.Name] = true
	}
}

func (c Chat) validate(v *validator, orders Orders) {
	if orders.Percent < 100 {
		v.check(c.Model != "", "chat.model", "is empty", "name the model to ask")
	}
	v.check(c.MinPromptWords > 0, "chat.min_prompt_words", "is below 1", "set the shortest prompt")
	v.check(c.MaxPromptWords >= c.MinPromptWords, "chat.max_prompt_words", "is below min_prompt_words", "raise it")
	v.check(c.MinAnswerTokens > 0, "chat.min_answer_tokens", "is below 1", "set the shortest answer")
	v.check(c.MaxAnswerTokens >= c.MinAnswerTokens, "chat.max_answer_tokens", "is below min_answer_tokens", "raise it")
}

func (o Orders) validate(v *validator) {
	v.check(o.Percent >= 0 && o.Percent <= 100, "orders.percent", "is not between 0 and 100", "set the percentage of the arrivals")
	if o.Percent > 0 {
		v.check(o.Service != "", "orders.service", "is empty", "name the service that takes the orders")
	}
}
