package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// rankRoutes gives the harness's routes different priorities: 2 for /stream/ and
// /safe/, 0 for the others.
func (s *harness) rankRoutes() {
	for i := range s.routes {
		if s.routes[i].Name == "stream" || s.routes[i].Name == "safe" {
			s.routes[i].Priority = 2
		}
	}
	s.configure()
	s.state.Tick()
}

// priorities collects the values of the priority header that endpoints get.
type priorities struct {
	mu   sync.Mutex
	seen []string
}

func (p *priorities) record(r *http.Request) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, fmt.Sprint(r.Header.Values("X-Priority")))
	return len(p.seen)
}

// Guards against a send without the rank, or with the caller's value, where ranks are
// in force: a first send, one after a refusal, a repeated one and a resumed stream.
func TestEverySendBearsTheRank(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		first http.HandlerFunc
		rest  http.HandlerFunc
		sends int
		want  string
	}{
		"first":         {"/once/", answerOK, answerOK, 1, "[0]"},
		"after refusal": {"/once/", refuseBusy, answerOK, 2, "[0]"},
		"repeated":      {"/safe/", abort, answerOK, 2, "[2]"},
		"resumed":       {"/stream/", breakAfter(pieces(1, 2)), sendText(pieces(3, 4)), 2, "[2]"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.rankRoutes()
			var got priorities
			handler := func(w http.ResponseWriter, r *http.Request) {
				if got.record(r) == 1 {
					test.first(w, r)
					return
				}
				test.rest(w, r)
			}
			s.add(handler)
			s.add(handler)
			req := s.request(http.MethodPost, test.path, "X-Priority", "7")
			req.Header.Add("X-Priority", "1")
			status, _, _, err := s.do(req)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, len(got.seen), test.sends)
			for _, value := range got.seen {
				assert.Equal(t, value, test.want)
			}
		})
	}
}

// Guards against a standby's send without the rank. Load: a stream whose endpoint is
// in doubt.
func TestStandbySendBearsTheRank(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		s.rankRoutes()
		var got priorities
		first := make(chan struct{})
		handler := func(w http.ResponseWriter, r *http.Request) {
			if got.record(r) == 1 {
				writeEvents(w, 1, 2, true)
				_ = http.NewResponseController(w).Flush()
				close(first)
				<-r.Context().Done()
				return
			}
			writeEvents(w, lastEvent(r)+1, 4, true)
		}
		s.add(handler)
		s.add(handler)
		answered := make(chan string, 1)
		go func() {
			_, body, _, _ := s.do(s.request(http.MethodPost, "/stream/", "X-Priority", "7"))
			answered <- body
		}()
		<-first
		synctest.Wait()
		assert.Equal(t, s.doubtAll(), 1)
		assert.Equal(t, <-answered, pieces(1, 4))
		assert.DeepEqual(t, got.seen, []string{"[2]", "[2]"})
	})
}

// Guards against a change for deployments without ranks: a caller's value reaches the
// endpoint as it is, and none is added.
func TestCallersPriorityIsKeptWithoutRanks(t *testing.T) {
	s := newHarness(t)
	var got priorities
	s.add(func(w http.ResponseWriter, r *http.Request) {
		got.record(r)
		answerOK(w, r)
	})
	req := s.request(http.MethodPost, "/once/", "X-Priority", "7")
	req.Header.Add("X-Priority", "x")
	_, _, _, err := s.do(req)
	assert.NilError(t, err)
	_, _, _, err = s.do(s.request(http.MethodPost, "/once/"))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.seen, []string{"[7 x]", "[]"})
}

// line is a set of requests of one ranked service that wait at a node.
type line struct {
	*harness
	wg   sync.WaitGroup
	mu   sync.Mutex
	done []string // names of those placed, in order
	lost []string // names of those refused
}

// wait lets a request wait for a slot of the service for at most d.
func (l *line) wait(ctx context.Context, name, account string, rank int, d time.Duration) {
	p := &placement{
		query:   dispatch.Query{Service: "shop", Rank: catalog.Rank{Ranked: true, Value: rank}},
		account: account, until: l.state.now().Add(d),
		cancel: func(dispatch.LossReason) {}, doubt: func(*dispatch.Ticket, dispatch.LossReason) {},
	}
	l.wg.Go(func() {
		ticket, refusal := l.server.placeInTurn(ctx, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		if (ticket == nil) == (refusal == nil) {
			l.t.Errorf("%s was both placed and refused, or neither", name)
		}
		if ticket != nil {
			l.done = append(l.done, name)
			return
		}
		l.lost = append(l.lost, name)
	})
	synctest.Wait()
}

// fill takes all slots of the service and returns the tickets.
func (l *line) fill() (tickets []*dispatch.Ticket) {
	for {
		ticket, refusal := l.state.pick(dispatch.Query{Service: "shop"}, func(dispatch.LossReason) {}, func(*dispatch.Ticket, dispatch.LossReason) {})
		if refusal != nil {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

func newLine(t *testing.T) *line {
	s := newHarnessWith(t, newPipes(), 0)
	s.add(answerOK)
	return &line{harness: s}
}

// Guards against slots that go to whoever polls first, and against a request that
// arrives and takes a slot for which a more urgent one waits. Load: all slots are
// taken; then one becomes free every 50 ms.
func TestWaitingRequestsYieldToMoreUrgentOnes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		l := newLine(t)
		tickets := l.fill()
		ctx := t.Context()
		l.wait(ctx, "low", "a", 2, time.Second)
		time.Sleep(3 * time.Millisecond)
		l.wait(ctx, "high", "a", 0, time.Second)
		time.Sleep(3 * time.Millisecond)
		l.wait(ctx, "middle", "a", 1, time.Second)
		l.state.finish(tickets[0], dispatch.Neutral)
		l.wait(ctx, "late", "a", 2, 0) // can't wait, and is behind the others
		assert.DeepEqual(t, l.done, []string{"high"})
		assert.DeepEqual(t, l.lost, []string{"late"})
		for _, ticket := range tickets[1:3] {
			l.state.finish(ticket, dispatch.Neutral)
			time.Sleep(50 * time.Millisecond)
		}
		l.wg.Wait()
		assert.DeepEqual(t, l.done, []string{"high", "middle", "low"})
		assert.Equal(t, len(l.state.waiting), 0)
	})
}

// Guards against an account that gets more slots by asking for more. Load: one account
// waits with 40 requests, another with 4, and 8 slots become free.
func TestGreedyAccountAtOneNode(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		l := newLine(t)
		tickets := l.fill()
		for range 40 {
			l.wait(t.Context(), "greedy", "a", 1, time.Second)
		}
		for range 4 {
			l.wait(t.Context(), "modest", "b", 1, time.Second)
		}
		for _, ticket := range tickets[:8] {
			l.state.finish(ticket, dispatch.Neutral)
			time.Sleep(25 * time.Millisecond)
		}
		l.mu.Lock()
		served := map[string]int{}
		for _, name := range l.done {
			served[name]++
		}
		l.mu.Unlock()
		l.wg.Wait()
		assert.DeepEqual(t, served, map[string]int{"greedy": 4, "modest": 4})
		assert.Equal(t, len(l.done)+len(l.lost), 44)
	})
}

// Guards against a slot that stays taken by a caller that has left, and against one
// that goes on waiting. Load: a caller leaves while it waits, and another one just as
// it gets a slot.
func TestCallerThatLeavesIsOutAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		l := newLine(t)
		tickets := l.fill()
		ctx, leave := context.WithCancel(t.Context())
		l.wait(ctx, "gone", "a", 0, time.Minute)
		leave()
		synctest.Wait()
		assert.DeepEqual(t, l.lost, []string{"gone"})
		assert.Equal(t, len(l.state.waiting), 0)

		ctx, leave = context.WithCancel(t.Context())
		l.wait(ctx, "placed", "a", 0, time.Minute)
		time.Sleep(15 * time.Millisecond)
		l.state.finish(tickets[0], dispatch.Neutral)
		l.state.mu.Lock() // it leaves before it sees that it has a slot
		key := waitKey{"shop", ""}
		l.state.serveQueue(l.state.now(), l.state.waiting[key], "shop")
		leave()
		l.state.dropEmpty(key, l.state.waiting[key])
		l.state.mu.Unlock()
		l.wg.Wait()
		assert.DeepEqual(t, l.lost, []string{"gone", "placed"})
		assert.Equal(t, len(l.fill()), 1, "its slot is free again")
	})
}

// Guards against waiters that are lost, or that get two slots. Load: 300 requests of
// random ranks and accounts at 12 slots, some of whose callers leave.
func TestEveryWaiterHasOneEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		l := newLine(t)
		var placed, refused, live atomic.Int32
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() {
				time.Sleep(time.Duration(i*i%97) * 7 * time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%7 == 0 {
					defer time.AfterFunc(time.Duration(i%50)*time.Millisecond, cancel).Stop()
				}
				p := &placement{
					query:   dispatch.Query{Service: "shop", Rank: catalog.Rank{Ranked: true, Value: i % 3}},
					account: fmt.Sprint(i % 5), until: l.state.now().Add(time.Duration(i%11) * 40 * time.Millisecond),
					cancel: func(dispatch.LossReason) {}, doubt: func(*dispatch.Ticket, dispatch.LossReason) {},
				}
				ticket, refusal := l.server.placeInTurn(ctx, p)
				switch {
				case ticket != nil && refusal == nil:
					placed.Add(1)
					if n := live.Add(1); n > 12 {
						t.Errorf("%d requests have 12 slots", n)
					}
					time.Sleep(100 * time.Millisecond)
					live.Add(-1)
					l.state.finish(ticket, dispatch.Succeeded)
				case ticket == nil && refusal != nil:
					refused.Add(1)
				default:
					t.Error("a waiter was both placed and refused, or neither")
				}
			})
		}
		wg.Wait()
		t.Logf("placed %d, refused %d", placed.Load(), refused.Load())
		assert.Equal(t, placed.Load()+refused.Load(), int32(300))
		assert.Equal(t, len(l.state.waiting), 0)
		assert.Equal(t, len(l.fill()), 12, "all slots are free again")
	})
}

// Guards against refused requests that leave no trace of their rank. Load: no endpoint.
func TestRefusalIsCountedByReasonAndRank(t *testing.T) {
	s := newHarness(t)
	s.rankRoutes()
	req := &request{
		started: s.state.now(), deadline: s.state.now().Add(time.Second), service: &catalog.Service{Name: "shop"},
		route: &s.routes[1], rank: catalog.Rank{Ranked: true, Value: 2, Distance: 1},
	}
	_, fault := s.server.place(t.Context(), req, false)
	assert.Equal(t, fault.Kind, problem.NoEndpoint)
	assert.Equal(t, telemetry.Counter(s.server.opts.Metrics, "placements_refused_total", "reason", "no endpoint", "rank", "2").Count(), int64(1))
}
