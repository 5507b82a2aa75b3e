package admit

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

const (
	// DefaultMaxQueue bounds the waiting requests of one target.
	DefaultMaxQueue = 256
	// DefaultShareWait bounds how long a request waits for the node's part
	// of its account's limit to grow while nothing of it is in use here.
	DefaultShareWait = 500 * time.Millisecond
)

// Options configure a Controller. The switches turn one mechanism off each;
// they exist for comparison.
type Options struct {
	Seed uint64
	// Source names the ledger that divides the accounts' limits.
	Source string
	// MaxQueue bounds the waiting requests per target; 0 means
	// DefaultMaxQueue.
	MaxQueue int
	// ShareWait bounds the wait for a first part of an account's limit; 0
	// means DefaultShareWait.
	ShareWait time.Duration
	// Unfair serves accounts in order of deadline only.
	Unfair bool
	// HoldToDeadline refuses a waiting request only when its deadline passes.
	HoldToDeadline bool
	// SameHint gives every refused caller the same time to come back.
	SameHint bool
}

// Controller admits, queues and refuses requests.
type Controller struct {
	opts     Options
	rng      *rand.Rand
	capacity Capacity
	shares   *budget.Shares
	accounts map[string]*account
	targets  map[string]*target
	order    []*target
	running  map[ID]*run
	sequence uint64
}

type account struct {
	Account
	share   string
	waiting int
	// wanting is since when requests wait without any share.
	wanting time.Time
	pace    pace
}

// target is the queue of one model or service.
type target struct {
	name string
	// lanes are those with waiting requests.
	lanes     []*lane
	byAccount map[*account]*lane
	queued    int
	pace      pace
	// served is the largest past use of any account that was served, so that
	// one that returns does not claim the time it was away.
	served float64
}

// run is a request that was admitted and has not ended.
type run struct {
	request waiting
	account *account
	target  *target
	ticket  budget.Ticket
	started time.Time
}

// New returns a controller that admits within the shares of accounts' limits
// and the capacity.
func New(opts Options, capacity Capacity, shares *budget.Shares) *Controller {
	if opts.MaxQueue == 0 {
		opts.MaxQueue = DefaultMaxQueue
	}
	if opts.ShareWait == 0 {
		opts.ShareWait = DefaultShareWait
	}
	return &Controller{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		capacity: capacity,
		shares:   shares,
		accounts: map[string]*account{},
		targets:  map[string]*target{},
		running:  map[ID]*run{},
	}
}

// SetAccount adds an account or replaces its settings.
func (c *Controller) SetAccount(a Account) {
	if a.Weight <= 0 {
		a.Weight = 1
	}
	if acc, ok := c.accounts[a.Name]; ok {
		acc.Account = a
		return
	}
	c.accounts[a.Name] = &account{Account: a, share: ShareName(a.Name)}
}

// RemoveAccount removes an account. Its requests that wait or run end as usual,
// new ones are refused.
func (c *Controller) RemoveAccount(name string) { delete(c.accounts, name) }

// Queued returns the number of requests that wait for the target.
func (c *Controller) Queued(targetName string) int {
	if t, ok := c.targets[targetName]; ok {
		return t.queued
	}
	return 0
}

func (c *Controller) target(name string) *target {
	t, ok := c.targets[name]
	if !ok {
		t = &target{name: name, byAccount: map[*account]*lane{}}
		c.targets[name] = t
		c.order = append(c.order, t)
	}
	return t
}

// lane returns the account's lane of the target.
func (t *target) lane(a *account) *lane {
	l, ok := t.byAccount[a]
	if !ok {
		l = &lane{account: a, served: t.served}
		t.byAccount[a] = l
	}
	return l
}
