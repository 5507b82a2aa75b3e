package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

var start = time.Unix(1000, 0)

const serviceTime = time.Second

// fakeCapacity is a Capacity with a fixed number of free slots.
type fakeCapacity struct {
	free int
	gone bool
}

func (s *fakeCapacity) Free(string) int     { return s.free }
func (s *fakeCapacity) Serving(string) bool { return !s.gone }

// driver drives a controller and records its decisions. Each admitted request
// takes one slot.
type driver struct {
	*Controller
	shares    *budget.Shares
	endpoints *fakeCapacity
	sequence  uint64
	next      ID
	running   []ID
	refused   map[ID]*problem.Error
	admitted  map[string]int
	account   map[ID]string
}

func newDriver(opts Options, free int) *driver {
	opts.Seed, opts.Source = 1, "accounts"
	d := &driver{
		shares: budget.NewShares("a", "a.1"), endpoints: &fakeCapacity{free: free},
		refused: map[ID]*problem.Error{}, admitted: map[string]int{}, account: map[ID]string{},
	}
	d.Controller = New(opts, d.endpoints, d.shares)
	return d
}

// grant gives the node a share of an account's limit.
func (d *driver) grant(account string, limit, maxInFlight int, scarce bool) {
	d.SetAccount(Account{Name: account, Weight: d.weight(account), MaxInFlight: maxInFlight})
	d.sequence++
	d.shares.ApplyGrant(start, budget.Grant{
		Source: "accounts", Fence: member.Fence{Term: 1, Sequence: d.sequence},
		Node: "a", NodeIncarnation: "a.1", Endpoint: ShareName(account), Incarnation: "limit",
		Limit: limit, Cold: limit, Scarce: scarce,
	})
}

func (d *driver) weight(account string) int {
	if a, ok := d.accounts[account]; ok {
		return a.Weight
	}
	return 1
}

func (d *driver) offer(now time.Time, account string, timeout time.Duration, priority int) Decision {
	d.next++
	d.account[d.next] = account
	r := Request{ID: d.next, Account: account, Target: "m", Priority: priority}
	if timeout > 0 {
		r.Deadline = now.Add(timeout)
	}
	decision := d.Offer(now, r)
	switch decision.Verdict {
	case Admit:
		d.started(d.next)
	case Refuse:
		d.refused[d.next] = decision.Problem
	case Queue:
	}
	d.apply(decision.Displaced)
	return decision
}

func (d *driver) started(id ID) {
	d.endpoints.free--
	d.running = append(d.running, id)
	d.admitted[d.account[id]]++
}

func (d *driver) apply(effects []Effect) {
	for _, e := range effects {
		if e.Verdict == Admit {
			d.started(e.ID)
		} else {
			d.refused[e.ID] = e.Problem
		}
	}
}

// finish ends the request that has been running longest.
func (d *driver) finish(now time.Time) {
	id := d.running[0]
	d.running = d.running[1:]
	d.endpoints.free++
	d.apply(d.Release(now, id, true))
}

// measureServiceTime runs one request, so that the controller knows the service
// time.
func (d *driver) measureServiceTime(account string) {
	d.offer(start.Add(-serviceTime), account, 0, 0)
	d.finish(start)
}

func TestAdmitQueueRefuse(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 10, 10, false)
	d.measureServiceTime("c")
	assert.Equal(t, d.offer(start, "c", 5*serviceTime, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", 5*serviceTime, 0).Verdict, Queue)
	refused := d.offer(start, "c", 3*serviceTime/2, 0)
	assert.Equal(t, refused.Verdict, Refuse, "the running request ends too late")
	assert.Equal(t, refused.Problem.Kind, problem.Overloaded)
	assert.Equal(t, refused.Problem.Ran, problem.RanNo)
	assert.Assert(t, refused.Problem.RetryAfter > 0)
	d.finish(start.Add(serviceTime))
	assert.Equal(t, d.admitted["c"], 3)
}

func TestUnknownAccountIsRefused(t *testing.T) {
	d := newDriver(Options{}, 1)
	assert.Equal(t, d.offer(start, "x", 0, 0).Problem.Kind, problem.Unauthorized)
}

func TestRemovedAccountIsRefused(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 2, 2, false)
	d.offer(start, "c", 0, 0)
	d.offer(start, "c", 0, 0)
	d.RemoveAccount("c")
	assert.Equal(t, d.offer(start, "c", 0, 0).Verdict, Refuse)
	d.finish(start)
	assert.Equal(t, d.admitted["c"], 2)
}

// TestAdmissionCost bounds the allocations of an admitted request.
func TestAdmissionCost(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 2, 2, false)
	id := ID(0)
	allocs := testing.AllocsPerRun(500, func() {
		id++
		d.Offer(start, Request{ID: id, Account: "c", Target: "m"})
		d.Release(start, id, true)
	})
	assert.Assert(t, allocs <= 2, "%v", allocs)
}

func TestAccountLimit(t *testing.T) {
	d := newDriver(Options{}, 100)
	d.grant("c", 2, 2, false)
	d.measureServiceTime("c")
	assert.Equal(t, d.offer(start, "c", serviceTime, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", serviceTime, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", serviceTime, 0).Problem.Kind, problem.AccountLimit)
	assert.Equal(t, d.offer(start, "c", 5*serviceTime, 0).Verdict, Queue, "a request of the account ends in time")
	d.finish(start.Add(serviceTime))
	assert.Equal(t, d.admitted["c"], 4)
}

func TestShareIsRequestedOnDemand(t *testing.T) {
	d := newDriver(Options{}, 100)
	d.SetAccount(Account{Name: "c", MaxInFlight: 10})
	assert.Equal(t, d.offer(start, "c", 0, 0).Verdict, Queue)
	assert.Equal(t, d.shares.Report("accounts", true).Entries[0].Demand, 1)
	d.grant("c", 5, 10, false)
	d.apply(d.Tick(start.Add(time.Millisecond)))
	assert.Equal(t, d.admitted["c"], 1)

	// If no share arrives, the request is refused after ShareWait. If it is
	// known that none can arrive, it is refused immediately.
	d.SetAccount(Account{Name: "e", MaxInFlight: 10})
	assert.Equal(t, d.offer(start, "e", time.Hour, 0).Verdict, Queue)
	d.apply(d.Tick(start.Add(DefaultShareWait)))
	assert.Equal(t, len(d.refused), 0)
	d.apply(d.Tick(start.Add(DefaultShareWait + 1)))
	assert.Equal(t, d.refused[d.next].Kind, problem.NotReady)
	d.grant("e", 0, 10, true)
	assert.Equal(t, d.offer(start, "e", time.Hour, 0).Problem.Kind, problem.AccountLimit)
}

func TestQueueOrder(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 100, 100, false)
	d.offer(start, "c", 0, 0)
	d.offer(start, "c", 50*time.Second, 0) // 2
	d.offer(start, "c", 40*time.Second, 0) // 3
	d.offer(start, "c", 90*time.Second, 1) // 4
	d.offer(start, "c", 0, 0)              // 5
	var order []ID
	for range 4 {
		d.finish(start)
		order = append(order, d.running[0])
	}
	assert.DeepEqual(t, order, []ID{4, 3, 2, 5})
}

// TestWeightedFairness floods the queue with requests of one account while
// another account requests no more than its share.
func TestWeightedFairness(t *testing.T) {
	admitted := func(opts Options) map[string]int {
		d := newDriver(opts, 4)
		d.SetAccount(Account{Name: "small", Weight: 2})
		d.grant("big", 1000, 1000, false)
		d.grant("small", 1000, 1000, false)
		now := start
		for range 300 {
			now = now.Add(50 * time.Millisecond)
			for range 4 {
				d.offer(now, "big", time.Minute, 0)
			}
			for range 2 {
				d.offer(now, "small", 2*time.Minute, 0)
			}
			for range 3 {
				if len(d.running) > 0 {
					d.finish(now)
				}
			}
		}
		return d.admitted
	}
	fair := admitted(Options{MaxQueue: 64})
	total := fair["big"] + fair["small"]
	// Two of three admitted requests belong to the account with weight 2, which
	// offers that many.
	assert.Assert(t, fair["small"] >= total*2/3-total/20, "%v", fair)
	unfair := admitted(Options{MaxQueue: 64, DisableFairness: true})
	assert.Assert(t, unfair["small"] < total*2/3-total/20, "%v", unfair)
}

func TestQueueIsBoundedAndDisplacesTheLongest(t *testing.T) {
	d := newDriver(Options{MaxQueue: 10}, 0)
	d.grant("big", 100, 100, false)
	d.grant("small", 100, 100, false)
	for range 20 {
		d.offer(start, "big", 0, 0)
		assert.Assert(t, d.Queued("m") <= 10)
	}
	assert.Equal(t, len(d.refused), 10)
	assert.Equal(t, d.offer(start, "small", 0, 0).Verdict, Queue)
	assert.Equal(t, d.Queued("m"), 10)
	assert.Equal(t, len(d.refused), 11)
}

// TestWaitingRequestIsRefusedOnceTooLate stops all completions while requests
// wait. A request must be refused as soon as its deadline cannot be met.
func TestWaitingRequestIsRefusedOnceTooLate(t *testing.T) {
	refusedAt := func(opts Options) time.Duration {
		d := newDriver(opts, 8)
		d.grant("c", 1000, 1000, false)
		for range 8 {
			d.offer(start.Add(-serviceTime), "c", 0, 0)
		}
		for range 8 {
			d.finish(start)
		}
		for range 8 {
			d.offer(start, "c", 0, 0)
		}
		last := d.offer(start, "c", 10*serviceTime, 0)
		assert.Equal(t, last.Verdict, Queue)
		// No request ends from here on.
		for step := range 200 {
			at := time.Duration(step) * 100 * time.Millisecond
			d.apply(d.Tick(start.Add(at)))
			if len(d.refused) > 0 {
				return at
			}
		}
		return time.Hour
	}
	// If no request has ended for t, the next end is expected after another
	// t. 2t plus the service time exceeds the deadline at t = 4.5 s.
	assert.Assert(t, refusedAt(Options{}) <= 4600*time.Millisecond, "%v", refusedAt(Options{}))
	assert.Assert(t, refusedAt(Options{HoldToDeadline: true}) >= 10*serviceTime)
}

func TestRequeueKeepsPositionAndCancelRemoves(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 100, 100, false)
	d.offer(start, "c", 0, 0) // 1
	d.offer(start, "c", 0, 0) // 2
	d.offer(start, "c", 0, 0) // 3
	d.Cancel(2, "m")
	assert.Equal(t, d.Queued("m"), 1)
	assert.Equal(t, d.Requeue(start, 1).Verdict, Queue)
	d.running = nil
	d.endpoints.free = 1
	d.apply(d.Tick(start))
	assert.DeepEqual(t, d.running, []ID{1})
	assert.Equal(t, d.Requeue(start, 99).Verdict, Refuse)
}

// TestRetryAfterIsSpread checks that callers refused at the same time are told to
// retry at different times.
func TestRetryAfterIsSpread(t *testing.T) {
	distinct := func(opts Options) int {
		opts.MaxQueue = 1
		d := newDriver(opts, 0)
		d.grant("c", 100, 100, false)
		d.offer(start, "c", 0, 0)
		tenths := map[time.Duration]bool{}
		for range 100 {
			after := d.offer(start, "c", 0, 0).Problem.RetryAfter
			assert.Assert(t, after >= minRetryAfter/2 && after <= 2*maxRetryAfter)
			tenths[after/(minRetryAfter/10)] = true
		}
		return len(tenths)
	}
	assert.Assert(t, distinct(Options{}) >= 10)
	assert.Equal(t, distinct(Options{FixedRetryAfter: true}), 1)
}

func TestRetryBudget(t *testing.T) {
	// retries returns the number of retries sent if every attempt fails.
	retries := func(b *RetryBudget) int {
		sent := 0
		for range 1000 {
			b.First()
			for range 3 {
				if b.Retry() {
					sent++
				}
			}
		}
		return sent
	}
	const bound = 1000/10 + DefaultRetryReserve
	got := retries(NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve))
	assert.Assert(t, got <= bound && got >= bound-1, "%d", got)
	assert.Assert(t, retries(UnlimitedRetries()) > bound)

	idle := NewRetryBudget(DefaultRetryRatio, 0)
	for range 100000 {
		idle.First()
	}
	saved := 0
	for idle.Retry() {
		saved++
	}
	assert.Assert(t, saved <= maxRetryTokens, fmt.Sprint(saved))
}
