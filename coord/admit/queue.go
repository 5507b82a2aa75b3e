package admit

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

const (
	// DefaultMaxQueue is the default limit of waiting requests per target.
	DefaultMaxQueue = 256
	// DefaultShareWait is the default for Options.ShareWait.
	DefaultShareWait = 500 * time.Millisecond
)

// Options configure a Controller. Each of the boolean options disables one
// mechanism, for comparison.
type Options struct {
	Seed uint64
	// Source is the name of the ledger that divides the accounts' limits.
	Source string
	// MaxQueue limits the waiting requests per target; 0 means
	// DefaultMaxQueue.
	MaxQueue int
	// ShareWait limits how long requests wait for the node's share of their
	// account's limit to grow while all of it is in use; 0 means
	// DefaultShareWait.
	ShareWait time.Duration
	// DisableFairness ignores the accounts' weights: requests of equal priority
	// start in order of deadline, and a full queue refuses every new request.
	DisableFairness bool
	// HoldToDeadline refuses a waiting request only when its deadline passes.
	HoldToDeadline bool
	// FixedRetryAfter disables the random spread of the retry delay.
	FixedRetryAfter bool
}

// Controller admits, queues and refuses requests.
type Controller struct {
	opts       Options
	rng        *rand.Rand
	capacity   Capacity
	shares     *budget.Shares
	accounts   map[string]*account
	targets    map[string]*target
	targetList []*target
	running    map[ID]*runningRequest
	sequence   uint64
}

type account struct {
	Account
	share   string
	waiting int
	// waitingSince is when the account's first waiting request was queued
	// after none had been waiting.
	waitingSince time.Time
	throughput   throughput
}

// target is the queue of one model or service.
type target struct {
	name string
	// lanes contains the lanes that have waiting requests.
	lanes      []*lane
	byAccount  map[*account]*lane
	queued     int
	throughput throughput
	// virtualTime is the largest virtual time at which a request of any
	// account started. An account that becomes active again starts from it, so
	// that it gets no credit for its idle time.
	virtualTime float64
}

// runningRequest is a request that was admitted and has not ended.
type runningRequest struct {
	request queuedRequest
	account *account
	target  *target
	ticket  budget.Ticket
	started time.Time
}

// New returns a controller that admits requests within this node's shares of the
// accounts' limits and the capacity of the endpoints.
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
		running:  map[ID]*runningRequest{},
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

// RemoveAccount removes an account. Its waiting and running requests continue as
// usual; new ones are refused.
func (c *Controller) RemoveAccount(name string) { delete(c.accounts, name) }

// Queued returns the number of waiting requests for the target.
func (c *Controller) Queued(targetName string) int {
	if t, ok := c.targets[targetName]; ok {
		return t.queued
	}
	return 0
}

// target returns the target with the given name, creating it if necessary.
func (c *Controller) target(name string) *target {
	t, ok := c.targets[name]
	if !ok {
		t = &target{name: name, byAccount: map[*account]*lane{}}
		c.targets[name] = t
		c.targetList = append(c.targetList, t)
	}
	return t
}

// lane returns the account's lane of the target, creating it if necessary.
func (t *target) lane(a *account) *lane {
	l, ok := t.byAccount[a]
	if !ok {
		l = &lane{account: a, virtualTime: t.virtualTime}
		t.byAccount[a] = l
	}
	return l
}
