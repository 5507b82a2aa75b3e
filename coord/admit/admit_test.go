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

const service = time.Second

// slots is a number of places at endpoints.
type slots struct {
	free int
	gone bool
}

func (s *slots) Free(string) int     { return s.free }
func (s *slots) Serving(string) bool { return !s.gone }

// desk is a controller whose admitted requests take a place each.
type desk struct {
	*Controller
	shares   *budget.Shares
	slots    *slots
	sequence uint64
	next     ID
	running  []ID
	refused  map[ID]*problem.Error
	admitted map[string]int
	account  map[ID]string
}

func newDesk(opts Options, places int) *desk {
	opts.Seed, opts.Source = 1, "accounts"
	d := &desk{
		shares: budget.NewShares("a", "a.1"), slots: &slots{free: places},
		refused: map[ID]*problem.Error{}, admitted: map[string]int{}, account: map[ID]string{},
	}
	d.Controller = New(opts, d.slots, d.shares)
	return d
}

// grant gives the node a part of an account's limit.
func (d *desk) grant(account string, limit, whole int, scarce bool) {
	d.SetAccount(Account{Name: account, Weight: d.weight(account), MaxInFlight: whole})
	d.sequence++
	d.shares.ApplyGrant(start, budget.Grant{
		Source: "accounts", Fence: member.Fence{Term: 1, Sequence: d.sequence},
		Node: "a", NodeIncarnation: "a.1", Endpoint: ShareName(account), Incarnation: "limit",
		Limit: limit, Cold: limit, Scarce: scarce,
	})
}

func (d *desk) weight(account string) int {
	if a, ok := d.accounts[account]; ok {
		return a.Weight
	}
	return 1
}

func (d *desk) offer(now time.Time, account string, patience time.Duration, priority int) Decision {
	d.next++
	d.account[d.next] = account
	r := Request{ID: d.next, Account: account, Target: "m", Priority: priority}
	if patience > 0 {
		r.Deadline = now.Add(patience)
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

func (d *desk) started(id ID) {
	d.slots.free--
	d.running = append(d.running, id)
	d.admitted[d.account[id]]++
}

func (d *desk) apply(effects []Effect) {
	for _, e := range effects {
		if e.Verdict == Admit {
			d.started(e.ID)
		} else {
			d.refused[e.ID] = e.Problem
		}
	}
}

// finish ends the longest running request.
func (d *desk) finish(now time.Time) {
	id := d.running[0]
	d.running = d.running[1:]
	d.slots.free++
	d.apply(d.Release(now, id, true))
}

// learn lets the controller see how long the work takes.
func (d *desk) learn(account string) {
	d.offer(start.Add(-service), account, 0, 0)
	d.finish(start)
}

func TestAdmitQueueRefuse(t *testing.T) {
	d := newDesk(Options{}, 1)
	d.grant("c", 10, 10, false)
	d.learn("c")
	assert.Equal(t, d.offer(start, "c", 5*service, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", 5*service, 0).Verdict, Queue)
	refused := d.offer(start, "c", 3*service/2, 0)
	assert.Equal(t, refused.Verdict, Refuse, "the one before it takes too long")
	assert.Equal(t, refused.Problem.Kind, problem.Overloaded)
	assert.Equal(t, refused.Problem.Ran, problem.RanNo)
	assert.Assert(t, refused.Problem.RetryAfter > 0)
	d.finish(start.Add(service))
	assert.Equal(t, d.admitted["c"], 3)
}

func TestUnknownAccountIsRefused(t *testing.T) {
	d := newDesk(Options{}, 1)
	assert.Equal(t, d.offer(start, "x", 0, 0).Problem.Kind, problem.Unauthorized)
}

func TestRemovedAccountIsRefused(t *testing.T) {
	d := newDesk(Options{}, 1)
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
	d := newDesk(Options{}, 1)
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
	d := newDesk(Options{}, 100)
	d.grant("c", 2, 2, false)
	d.learn("c")
	assert.Equal(t, d.offer(start, "c", service, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", service, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", service, 0).Problem.Kind, problem.AccountLimit)
	assert.Equal(t, d.offer(start, "c", 5*service, 0).Verdict, Queue, "one of its own ends in time")
	d.finish(start.Add(service))
	assert.Equal(t, d.admitted["c"], 4)
}

func TestShareOnDemand(t *testing.T) {
	d := newDesk(Options{}, 100)
	d.SetAccount(Account{Name: "c", MaxInFlight: 10})
	assert.Equal(t, d.offer(start, "c", 0, 0).Verdict, Queue)
	assert.Equal(t, d.shares.Report("accounts", true).Entries[0].Demand, 1)
	d.grant("c", 5, 10, false)
	d.apply(d.Tick(start.Add(time.Millisecond)))
	assert.Equal(t, d.admitted["c"], 1)

	// Where no share comes, the request is refused after ShareWait; where it
	// is known that none can come, at once.
	d.SetAccount(Account{Name: "e", MaxInFlight: 10})
	assert.Equal(t, d.offer(start, "e", time.Hour, 0).Verdict, Queue)
	d.apply(d.Tick(start.Add(DefaultShareWait)))
	assert.Equal(t, len(d.refused), 0)
	d.apply(d.Tick(start.Add(DefaultShareWait + 1)))
	assert.Equal(t, d.refused[d.next].Kind, problem.NotReady)
	d.grant("e", 0, 10, true)
	assert.Equal(t, d.offer(start, "e", time.Hour, 0).Problem.Kind, problem.AccountLimit)
}

func TestOrderOfQueue(t *testing.T) {
	d := newDesk(Options{}, 1)
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

// TestWeightedFairness floods the queue from one account while another asks
// for less than its part.
func TestWeightedFairness(t *testing.T) {
	served := func(opts Options) map[string]int {
		d := newDesk(opts, 4)
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
	fair := served(Options{MaxQueue: 64})
	total := fair["big"] + fair["small"]
	// 2 of 3 served belong to the account with weight 2, which asks for that.
	assert.Assert(t, fair["small"] >= total*2/3-total/20, "%v", fair)
	unfair := served(Options{MaxQueue: 64, Unfair: true})
	assert.Assert(t, unfair["small"] < total*2/3-total/20, "%v", unfair)
}

func TestQueueIsBoundedAndDisplacesTheLongest(t *testing.T) {
	d := newDesk(Options{MaxQueue: 10}, 0)
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

// TestRefusedWhenKnown takes capacity away while requests wait.
func TestRefusedWhenKnown(t *testing.T) {
	refusedAt := func(opts Options) time.Duration {
		d := newDesk(opts, 8)
		d.grant("c", 1000, 1000, false)
		for range 8 {
			d.offer(start.Add(-service), "c", 0, 0)
		}
		for range 8 {
			d.finish(start)
		}
		for range 8 {
			d.offer(start, "c", 0, 0)
		}
		last := d.offer(start, "c", 10*service, 0)
		assert.Equal(t, last.Verdict, Queue)
		// Nothing ends any more.
		for step := range 200 {
			at := time.Duration(step) * 100 * time.Millisecond
			d.apply(d.Tick(start.Add(at)))
			if len(d.refused) > 0 {
				return at
			}
		}
		return time.Hour
	}
	// With no end for t, the next is expected after t more; 2t plus the
	// service time passes the deadline at t = 4.5 s.
	assert.Assert(t, refusedAt(Options{}) <= 4600*time.Millisecond, "%v", refusedAt(Options{}))
	assert.Assert(t, refusedAt(Options{HoldToDeadline: true}) >= 10*service)
}

func TestRequeueKeepsPlaceAndCancelDrops(t *testing.T) {
	d := newDesk(Options{}, 1)
	d.grant("c", 100, 100, false)
	d.offer(start, "c", 0, 0) // 1
	d.offer(start, "c", 0, 0) // 2
	d.offer(start, "c", 0, 0) // 3
	d.Cancel(2, "m")
	assert.Equal(t, d.Queued("m"), 1)
	assert.Equal(t, d.Requeue(start, 1).Verdict, Queue)
	d.running = nil
	d.slots.free = 1
	d.apply(d.Tick(start))
	assert.DeepEqual(t, d.running, []ID{1})
	assert.Equal(t, d.Requeue(start, 99).Verdict, Refuse)
}

// TestRetryAfterSpreads checks that callers refused together come back apart.
func TestRetryAfterSpreads(t *testing.T) {
	spread := func(opts Options) int {
		opts.MaxQueue = 1
		d := newDesk(opts, 0)
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
	assert.Assert(t, spread(Options{}) >= 10)
	assert.Equal(t, spread(Options{SameHint: true}), 1)
}

func TestRetryBudget(t *testing.T) {
	// retries counts what an outage that fails every try would send.
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

	quiet := NewRetryBudget(DefaultRetryRatio, 0)
	for range 100000 {
		quiet.First()
	}
	saved := 0
	for quiet.Retry() {
		saved++
	}
	assert.Assert(t, saved <= maxRetryTokens, fmt.Sprint(saved))
}
