// Package load is an open-loop load tool: it sends requests when a seeded
// schedule says so, however slow the answers are, and checks that each
// answer is whole and right.
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

// Workload is a load tool's settings file.
type Workload struct {
	// Seed makes the schedule.
	Seed int64 `toml:"seed"`
	// URLs are the entry VMs' callers' addresses, used in turn.
	URLs []string `toml:"urls"`
	// Duration and MaxRequests bound the arrivals.
	Duration    time.Duration `toml:"duration"`
	MaxRequests int           `toml:"max_requests"`
	// MaxOutstanding bounds the requests that wait for answers; arrivals
	// above it are counted as not sent.
	MaxOutstanding int `toml:"max_outstanding"`
	// Deadline is what each request may take; it goes along as
	// Request-Timeout.
	Deadline time.Duration `toml:"deadline"`
	Arrivals Arrivals      `toml:"arrivals"`
	Accounts []Account     `toml:"accounts"`
	Chat     Chat          `toml:"chat"`
	Orders   Orders        `toml:"orders"`
	// Engines and Services are the base URLs of stand-ins whose counts the
	// report reads; they may be left out.
	Engines  []string `toml:"engines"`
	Services []string `toml:"services"`
}

// Arrivals is a Poisson process whose rate alternates between two values,
// each held for an exponentially distributed time.
type Arrivals struct {
	// Rate and BurstRate are requests per second.
	Rate      float64 `toml:"rate"`
	BurstRate float64 `toml:"burst_rate"`
	// Calm and Burst are the mean lengths of both phases; a Burst of 0
	// means no bursts.
	Calm  time.Duration `toml:"calm"`
	Burst time.Duration `toml:"burst"`
}

// Account is a client account with its share of the arrivals.
type Account struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
	// Share is relative to the other accounts' shares.
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

// Orders describes calls of a plain service that must not be repeated.
type Orders struct {
	// Percent is their part of the arrivals.
	Percent int    `toml:"percent"`
	Service string `toml:"service"`
}

// DefaultWorkload returns the settings that hold for absent keys.
func DefaultWorkload() Workload {
	return Workload{
		Seed: 1, Duration: 10 * time.Second, MaxRequests: 10_000, MaxOutstanding: 2_000, Deadline: 10 * time.Second,
		Arrivals: Arrivals{Rate: 20, Calm: 4 * time.Second},
		Chat:     Chat{MinPromptWords: 20, MaxPromptWords: 200, MinAnswerTokens: 10, MaxAnswerTokens: 60},
	}
}

// ReadWorkload reads the workload file at path. Its error is a
// *settings.Error, unless the file can't be read.
func ReadWorkload(path string) (Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Workload{}, errors.Annotate(err, "reading workload; name a file that exists")
	}
	return ParseWorkload(path, data)
}

// ParseWorkload reads a workload from data; file names it in faults.
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

// require adds a fault unless ok.
func (v *validator) require(ok bool, key, problem, remedy string) {
	if !ok {
		v.faults = append(v.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
	}
}

// Validate returns every impossible value of the workload.
func (w *Workload) Validate() []inventory.Fault {
	v := &validator{}
	v.require(len(w.URLs) > 0, "urls", "is empty", "name at least one entry VM's callers' URL")
	v.httpURLs("urls", w.URLs)
	v.httpURLs("engines", w.Engines)
	v.httpURLs("services", w.Services)
	v.require(w.Duration > 0 && w.Duration <= maxDuration, "duration", fmt.Sprintf("is not between 0 and %s", maxDuration), `set a duration as "30s"`)
	v.require(w.MaxRequests > 0 && w.MaxRequests <= maxRequests, "max_requests", fmt.Sprintf("is not between 1 and %d", maxRequests), "set the largest number of requests")
	v.require(w.MaxOutstanding > 0, "max_outstanding", "is below 1", "set the largest number of requests that wait for answers")
	v.require(w.Deadline > 0, "deadline", "is not above zero", `set a duration as "10s"`)
	w.Arrivals.validate(v)
	w.validateAccounts(v)
	w.Chat.validate(v, w.Orders)
	w.Orders.validate(v)
	return v.faults
}

func (v *validator) httpURLs(key string, urls []string) {
	for i, raw := range urls {
		u, err := url.Parse(raw)
		ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
		v.require(ok, fmt.Sprintf("%s[%d]", key, i), fmt.Sprintf("%q is not an HTTP URL", raw), "write it as http://10.0.0.1:8080")
	}
}

func (a Arrivals) validate(v *validator) {
	v.rate("arrivals.rate", a.Rate)
	if a.Burst == 0 {
		return
	}
	v.phase("arrivals.burst", a.Burst)
	v.phase("arrivals.calm", a.Calm)
	v.rate("arrivals.burst_rate", a.BurstRate)
}

func (v *validator) rate(key string, rate float64) {
	ok := rate >= minRate && rate <= maxRate
	v.require(ok, key, fmt.Sprintf("is not between %g and %g", minRate, maxRate), "set the requests per second")
}

func (v *validator) phase(key string, mean time.Duration) {
	ok := mean >= minPhase && mean <= maxDuration
	v.require(ok, key, fmt.Sprintf("is not between %s and %s", minPhase, maxDuration), `set a mean length as "2s"`)
}

func (w *Workload) validateAccounts(v *validator) {
	v.require(len(w.Accounts) > 0, "accounts", "is empty", "name at least one client account with its key")
	seen := map[string]bool{}
	for i, a := range w.Accounts {
		key := fmt.Sprintf("accounts[%d]", i)
		v.require(a.Name != "", key+".name", "is empty", "name the client account")
		v.require(!seen[a.Name], key+".name", fmt.Sprintf("%q appears twice", a.Name), "remove one of them")
		v.require(a.Key != "", key+".key", "is empty", "set the account's bearer key")
		v.require(a.Share > 0, key+".share", "is below 1", "set the account's share of the arrivals")
		seen[a.Name] = true
	}
}

func (c Chat) validate(v *validator, orders Orders) {
	if orders.Percent < 100 {
		v.require(c.Model != "", "chat.model", "is empty", "name the model to ask")
	}
	v.require(c.MinPromptWords > 0, "chat.min_prompt_words", "is below 1", "set the shortest prompt")
	v.require(c.MaxPromptWords >= c.MinPromptWords, "chat.max_prompt_words", "is below min_prompt_words", "raise it")
	v.require(c.MinAnswerTokens > 0, "chat.min_answer_tokens", "is below 1", "set the shortest answer")
	v.require(c.MaxAnswerTokens >= c.MinAnswerTokens, "chat.max_answer_tokens", "is below min_answer_tokens", "raise it")
}

func (o Orders) validate(v *validator) {
	v.require(o.Percent >= 0 && o.Percent <= 100, "orders.percent", "is not between 0 and 100", "set the part of the arrivals")
	if o.Percent > 0 {
		v.require(o.Service != "", "orders.service", "is empty", "name the service that takes the orders")
	}
}
