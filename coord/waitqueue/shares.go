package waitqueue

import (
	"maps"
	"math"
	"time"
)

const (
	// halfLife is the time in which served work loses half of its weight. It is a
	// few times the duration of a request, so that an account's burst counts while
	// its requests still run, and is forgotten soon after.
	halfLife = 10 * time.Second
	// maxAccounts bounds the accounts whose work is remembered.
	maxAccounts = 1024
	// negligible work is forgotten.
	negligible = 0.01
)

// Shares records the work served recently for each client account. The zero value
// has no records.
type Shares struct {
	accounts map[string]work
}

// work is an amount of work as of a time, after which it decays.
type work struct {
	amount float64
	at     time.Time
}

func (w work) decayed(now time.Time) float64 {
	return w.amount * math.Exp2(-max(0, now.Sub(w.at).Seconds())/halfLife.Seconds())
}

// Served returns the work served recently for an account.
func (s *Shares) Served(now time.Time, account string) float64 {
	return s.accounts[account].decayed(now)
}

func (s *Shares) has(account string) bool {
	_, ok := s.accounts[account]
	return ok
}

// Record adds work served for an account.
func (s *Shares) Record(now time.Time, account string, amount float64) {
	if s.accounts == nil {
		s.accounts = make(map[string]work)
	}
	if len(s.accounts) >= maxAccounts && !s.has(account) {
		s.forget(now)
	}
	s.accounts[account] = work{s.Served(now, account) + max(0, amount), now}
}

// forget removes accounts with negligible work, or the one with the least if there
// are none, so that another one can be recorded.
func (s *Shares) forget(now time.Time) {
	least, leastWork := "", math.Inf(1)
	for account, w := range s.accounts {
		if amount := w.decayed(now); amount < leastWork {
			least, leastWork = account, amount
		}
	}
	delete(s.accounts, least)
	maps.DeleteFunc(s.accounts, func(_ string, w work) bool { return w.decayed(now) < negligible })
}
