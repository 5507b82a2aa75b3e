package waitqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func add(q *Queue[string], shares *Shares, name, account string, rank, until int) *Waiter[string] {
	w := &Waiter[string]{Rank: rank, Account: account, Until: at(until), Alike: true, Value: name}
	q.Add(start, w, shares)
	return w
}

// serve serves up to n waiters and returns their names. Each counts as one unit of
// work.
func serve(q *Queue[string], shares *Shares, now time.Time, n int) []string {
	var names []string
	q.Run(now, shares, func(w *Waiter[string]) Verdict {
		if len(names) == n {
			return Refused
		}
		names = append(names, w.Value)
		shares.Record(now, w.Account, 1)
		return Served
	})
	return names
}

// Guards against an order other than rank, then the account's work, then time left.
// Load: waiters of three ranks and two accounts, one of which has been served.
func TestOrder(t *testing.T) {
	var q Queue[string]
	var shares Shares
	shares.Record(start, "busy", 5)
	add(&q, &shares, "low", "idle", 2, 100)
	add(&q, &shares, "busy", "busy", 1, 100)
	add(&q, &shares, "later", "idle", 1, 300)
	add(&q, &shares, "sooner", "idle", 1, 200)
	add(&q, &shares, "urgent", "busy", 0, 400)
	add(&q, &shares, "too late", "idle", 0, 50)
	assert.DeepEqual(t, serve(&q, &shares, at(50), 10), []string{"urgent", "sooner", "later", "busy", "low"})
	assert.Equal(t, q.Len(), 1, "the one whose time is over leaves by itself")
}

// Guards against an account that gets slots in proportion to what it asks for. Load:
// one account waits with ten times as many requests as each of three others, and a
// slot becomes free every 20 ms.
func TestAccountThatAsksForTenTimesItsShare(t *testing.T) {
	var q Queue[string]
	var shares Shares
	served := make(map[string]int)
	for tick := range 400 {
		now := at(20 * tick)
		for i := range 13 {
			account := "greedy"
			if i < 3 {
				account = fmt.Sprint("a", i)
			}
			q.Add(now, &Waiter[string]{Rank: 1, Account: account, Until: now.Add(400 * time.Millisecond), Alike: true, Value: account}, &shares)
		}
		for _, name := range serve(&q, &shares, now, 1) {
			served[name]++
		}
		for _, w := range append([]*Waiter[string](nil), q.waiters...) {
			if !now.Before(w.Until) {
				q.Remove(w)
			}
		}
	}
	t.Logf("served: %v", served)
	for _, n := range served {
		assert.Assert(t, n >= 95 && n <= 105, "served %v of 400, a quarter each is fair", served)
	}
}

// Guards against a queue that grows without bound, and against urgent requests that
// find it full. Load: more requests of the lowest rank than it has room for, then one
// of the highest.
func TestBoundDisplacesTheLast(t *testing.T) {
	var q Queue[string]
	var shares Shares
	for range MaxWaiting {
		add(&q, &shares, "low", "a", 2, 100)
	}
	over := &Waiter[string]{Rank: 2, Until: at(500), Account: "a"}
	assert.Assert(t, q.Add(start, over, &shares) == over)
	urgent := &Waiter[string]{Rank: 0, Until: at(500), Account: "a", Value: "urgent"}
	displaced := q.Add(start, urgent, &shares)
	assert.Equal(t, displaced.Value, "low")
	assert.Equal(t, q.Len(), MaxWaiting)
	assert.DeepEqual(t, serve(&q, &shares, start, 1), []string{"urgent"})
}

// Guards against the cost of a full queue: one refusal stands for all that are alike,
// but not for other ranks or for requests that exclude endpoints.
func TestRefusalStandsForThoseAlike(t *testing.T) {
	var q Queue[string]
	var shares Shares
	for i := range 100 {
		add(&q, &shares, "x", "a", i%2, 100)
	}
	add(&q, &shares, "excludes", "a", 1, 100).Alike = false
	tried := 0
	q.Run(start, &shares, func(*Waiter[string]) Verdict { tried++; return Refused })
	assert.Equal(t, tried, 3)
	assert.Equal(t, q.Len(), 101)
}

// Guards against memory that grows with the accounts, and against work that is never
// forgotten. Load: more accounts than are remembered.
func TestSharesAreBounded(t *testing.T) {
	var s Shares
	for i := range 3 * maxAccounts {
		s.Record(start, fmt.Sprint(i), float64(i))
	}
	assert.Assert(t, len(s.accounts) <= maxAccounts)
	last := fmt.Sprint(3*maxAccounts - 1)
	assert.Equal(t, s.Served(start, last), float64(3*maxAccounts-1))
	assert.Assert(t, s.Served(start.Add(10*halfLife), last) < 4)
	assert.Equal(t, s.Served(start, "never"), 0.0)
}

func drawWaiter(t *rapid.T, now time.Time, value int) *Waiter[int] {
	return &Waiter[int]{
		Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Account: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"),
		Until: now.Add(time.Duration(rapid.IntRange(-5, 500).Draw(t, "left")) * time.Millisecond),
		Alike: rapid.Bool().Draw(t, "alike"), Value: value,
	}
}

// checkContents fails unless the queue contains just the waiters that wait.
func checkContents(t *rapid.T, q *Queue[int], waiting map[*Waiter[int]]bool) {
	if q.Len() != len(waiting) || q.Len() > MaxWaiting {
		t.Fatalf("%d waiters in the queue, %d wait", q.Len(), len(waiting))
	}
	for _, w := range q.waiters {
		if !waiting[w] {
			t.Fatalf("waiter %d is in the queue after it left", w.Value)
		}
	}
}

// Guards against a waiter that is lost or served twice, whatever the order of
// arrivals, departures and free slots.
func TestNoWaiterIsLostOrServedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var shares Shares
		now := start
		waiting := make(map[*Waiter[int]]bool)
		leave := func(w *Waiter[int]) {
			if !waiting[w] {
				t.Fatalf("waiter %d left twice", w.Value)
			}
			delete(waiting, w)
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "n") {
					next++
					w := drawWaiter(t, now, next)
					waiting[w] = true
					if displaced := q.Add(now, w, &shares); displaced != nil {
						leave(displaced)
					}
				}
			},
			"depart": func(t *rapid.T) {
				if q.Len() == 0 {
					t.Skip()
				}
				w := q.waiters[rapid.IntRange(0, q.Len()-1).Draw(t, "index")]
				if !q.Remove(w) || q.Remove(w) {
					t.Fatalf("waiter %d was not there once", w.Value)
				}
				leave(w)
			},
			"run": func(t *rapid.T) {
				slots := rapid.IntRange(0, 20).Draw(t, "slots")
				tried := make(map[*Waiter[int]]bool)
				rank := -1 // of the latest one served
				q.Run(now, &shares, func(w *Waiter[int]) Verdict {
					if tried[w] || !now.Before(w.Until) || w.Rank < rank {
						t.Fatalf("waiter %d was tried twice, too late or out of turn", w.Value)
					}
					tried[w], rank = true, w.Rank
					if slots == 0 {
						return Refused
					}
					slots--
					leave(w)
					if w.Value%17 == 0 {
						return Ended
					}
					shares.Record(now, w.Account, 1)
					return Served
				})
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { checkContents(t, &q, waiting) },
		})
	})
}

// Guards against a low rank that waits behind higher ones for ever, and against all of
// its requests going first at once. Load: more urgent requests than slots.
func TestOneRequestOfAnOverdueRankGoesFirst(t *testing.T) {
	var q Queue[string]
	var shares Shares
	overdue := true
	q.Overdue = func(_ time.Time, rank int) bool { return rank == 2 && overdue }
	for range 3 {
		add(&q, &shares, "low", "a", 2, 100)
		add(&q, &shares, "high", "a", 0, 100)
	}
	var served []string
	q.Run(start, &shares, func(w *Waiter[string]) Verdict {
		if len(served) == 3 {
			return Refused
		}
		overdue = overdue && w.Rank != 2
		served = append(served, w.Value)
		return Served
	})
	assert.DeepEqual(t, served, []string{"low", "high", "high"})
}
