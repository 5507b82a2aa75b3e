package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// silencePause is the least time between two silences of an endpoint.
const silencePause = 1500 * time.Millisecond

// silenceAgain silences an endpoint unless its last silence ended only just before.
func (s *crashSite) silenceAgain(id string, d time.Duration) {
	s.mu.Lock()
	recent := time.Since(s.silentUntil[id]) < silencePause
	s.mu.Unlock()
	if !recent {
		s.silence(id, d)
	}
}

// silence makes an endpoint answer neither requests nor probes for d.
func (s *crashSite) silence(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil[id] = time.Now().Add(d)
}

// waitWhileSilent returns once an endpoint goes on, or with an error once the
// context has ended.
func (s *crashSite) waitWhileSilent(ctx context.Context, id string) error {
	s.mu.Lock()
	left := time.Until(s.silentUntil[id])
	s.mu.Unlock()
	if left <= 0 {
		return nil
	}
	select {
	case <-time.After(left):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endpointIDs returns the IDs of the endpoints that run.
func (s *crashSite) endpointIDs() []string {
	var out []string
	for _, row := range s.listed() {
		out = append(out, row.ID)
	}
	return out
}

// reconfigure puts a configuration in force at all entry VMs.
func (s *crashSite) reconfigure(version int64, routes []catalog.Route, services []catalog.Service) {
	cat := catalog.New(version, routes, services, catalog.Accounts{}, catalog.Limits{})
	for _, n := range s.nodes {
		n.state.Operators(time.Now(), updates.Operators{Version: uint64(version), Whole: true, Catalog: cat})
	}
}

// askRoute is the route of the site's requests.
func askRoute(resumable bool) catalog.Route {
	return catalog.Route{
		Name: "ask", Host: "h", Prefix: "/ask/", Kind: catalog.Stream, Resumable: resumable, Public: true,
		Backends: []catalog.Backend{{Service: "llm"}}, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
	}
}

func llmService(groupSize int) catalog.Service {
	return catalog.Service{Name: "llm", Engine: &catalog.Engine{Slots: crashSlots, Models: []catalog.Model{{Name: "m", GroupSize: groupSize, Share: 1}}}}
}

// ask sends a request and returns its status and the events of its answer. The
// error says that the answer is incomplete.
func (s *crashSite) ask(n *crashNode) (status int, events []string, err error) {
	client := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return s.network.dial(ctx, address) }}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, n.front.URL+"/ask/", nil)
	assert.NilError(s.t, err)
	req.Host = "h"
	req.Header.Set("X-Id", "request-1")
	req.Header.Set("X-Node", n.name)
	req.Header.Set("X-Model", "m")
	resp, err := client.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if event, ok := strings.CutPrefix(line, "id: "); ok {
			events = append(events, event)
		}
	}
	return resp.StatusCode, events, err
}

// assertWhole fails unless an answer has all events once and in order.
func assertWhole(t *testing.T, status int, events []string, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	var want []string
	for i := 1; i <= crashEvents; i++ {
		want = append(want, fmt.Sprint(i))
	}
	assert.DeepEqual(t, events, want)
}

// Guards against answers that end because their endpoint is silent for a while.
func TestSilenceOfSoundEndpointEndsNoAnswer(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints int
		resumable bool
		at, d     time.Duration // when the endpoints fall silent, and for how long
	}{
		{"nowhere else, a second", 1, true, 300 * time.Millisecond, time.Second},
		{"nowhere else, longer than clients wait between events", 1, true, 300 * time.Millisecond, 2500 * time.Millisecond},
		{"nowhere else, before the first event", 1, true, 20 * time.Millisecond, 1500 * time.Millisecond},
		{"not resumable, a second", 4, false, 300 * time.Millisecond, time.Second},
		{"not resumable, longer than clients wait between events", 4, false, 300 * time.Millisecond, 2500 * time.Millisecond},
		{"all endpoints at once", 4, true, 300 * time.Millisecond, 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCrashSite(t, 1, test.endpoints)
				s.reconfigure(2, []catalog.Route{askRoute(test.resumable)}, []catalog.Service{llmService(1)})
				ctx, cancel := context.WithCancel(t.Context())
				var ticks sync.WaitGroup
				ticks.Go(func() { s.run(ctx) })
				time.Sleep(time.Second)
				time.AfterFunc(test.at, func() {
					for _, id := range s.endpointIDs() {
						s.silence(id, test.d)
					}
				})
				status, events, err := s.ask(s.node(0))
				cancel()
				ticks.Wait()
				assertWhole(t, status, events, err)
			})
		})
	}
}

// Guards against answers that end because a configuration no longer names what
// they were begun on.
func TestConfigurationEndsNoAnswer(t *testing.T) {
	other := []catalog.Route{{Name: "other", Host: "h", Prefix: "/other/", Kind: catalog.Idempotent, Backends: []catalog.Backend{{Service: "shop"}}, MaxAttempts: 1}}
	withoutModel := llmService(1)
	withoutModel.Engine.Models = nil
	for _, test := range []struct {
		name     string
		routes   []catalog.Route
		services []catalog.Service
	}{
		{"without the route", other, []catalog.Service{llmService(1)}},
		{"without the service", other, nil},
		{"without the model", []catalog.Route{askRoute(true)}, []catalog.Service{withoutModel}},
		{"with larger groups", []catalog.Route{askRoute(true)}, []catalog.Service{llmService(2)}},
		{"with a plain service", []catalog.Route{askRoute(true)}, []catalog.Service{{Name: "llm"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCrashSite(t, 1, 2)
				ctx, cancel := context.WithCancel(t.Context())
				var ticks sync.WaitGroup
				ticks.Go(func() { s.run(ctx) })
				time.Sleep(time.Second)
				time.AfterFunc(300*time.Millisecond, func() { s.reconfigure(2, test.routes, test.services) })
				status, events, err := s.ask(s.node(0))
				cancel()
				ticks.Wait()
				assertWhole(t, status, events, err)
			})
		})
	}
}

// Guards against a stream that stays at a silent endpoint although another one
// could go on, and against events of both reaching the caller.
func TestStreamLeavesSilentEndpointOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCrashSite(t, 1, 2)
		ctx, cancel := context.WithCancel(t.Context())
		var ticks sync.WaitGroup
		ticks.Go(func() { s.run(ctx) })
		time.Sleep(time.Second)
		time.AfterFunc(300*time.Millisecond, func() { s.silence(s.servingEndpoint(), 5*time.Second) })
		began := time.Now()
		status, events, err := s.ask(s.node(0))
		took := time.Since(began)
		cancel()
		ticks.Wait()
		assertWhole(t, status, events, err)
		assert.Assert(t, took < 3*time.Second, "the stream took %s", took)
	})
}

// servingEndpoint returns an endpoint that has received a request.
func (s *crashSite) servingEndpoint() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, arrivals := range s.arrivals {
		if len(arrivals) > 0 {
			return id
		}
	}
	return ""
}

// Silences of sound endpoints, configurations and cuts between entry VMs end no
// answer.
func TestSilencesAmongConfigurationsEndNoAnswer(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { playSilentDay(t, seed) })
		})
	}
}

func playSilentDay(t *testing.T, seed uint64) {
	const day = 12 * time.Second
	rng := rand.New(rand.NewPCG(seed, 36))
	s := newCrashSite(t, 2+rng.IntN(3), 2+rng.IntN(8))
	rate := 10 + rng.IntN(20)
	ctx, cancel := context.WithCancel(t.Context())
	var ticks sync.WaitGroup
	ticks.Go(func() { s.run(ctx) })
	time.Sleep(time.Second)
	ids := s.endpointIDs()
	slices.Sort(ids)
	var trouble sync.WaitGroup
	trouble.Go(func() {
		for version := int64(2); ctx.Err() == nil; version++ {
			time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
			s.makeSilence(rng, ids, version)
		}
	})
	out := s.send(rate, day, soundParts)
	cancel()
	ticks.Wait()
	trouble.Wait()
	assert.Equal(t, out.by[0]+out.by[http.StatusBadGateway]+out.by[http.StatusGatewayTimeout], 0, "answers: %v", out.by)
	assert.Assert(t, out.by[http.StatusOK] > 0, "answers: %v", out.by)
}

// makeSilence silences some endpoints, puts another configuration in force, or cuts
// an entry VM off from the others.
func (s *crashSite) makeSilence(rng *rand.Rand, ids []string, version int64) {
	switch rng.IntN(4) {
	case 0, 1:
		for range 1 + rng.IntN(len(ids)) {
			s.silenceAgain(ids[rng.IntN(len(ids))], time.Duration(300+rng.IntN(1300))*time.Millisecond)
		}
	case 2:
		s.reconfigure(version, []catalog.Route{askRoute(rng.IntN(2) == 0)}, []catalog.Service{llmService(1)})
	case 3:
		n := s.node(rng.IntN(s.size()))
		n.cut.Store(!n.cut.Load())
	}
}

// Guards against a request that may be repeated and is cancelled at a slow endpoint
// although no other one can take it.
func TestSlowAnswerIsAwaitedIfNothingElseCanTakeTheRequest(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(700 * time.Millisecond):
			answerOK(w, r)
		case <-r.Context().Done():
		}
	}
	for name, others := range map[string][]http.HandlerFunc{
		"only endpoint":  nil,
		"all others out": {refuseBusy},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newHarnessWith(t, newPipes(), 0)
				s.add(slow)
				for _, handler := range others {
					e := s.add(handler)
					s.state.Locked(func(st LockedState) { st.VMs.Unlist(st.Now, fmt.Sprint("vm-", s.vms)) })
					s.state.Tick()
					defer e.Close()
				}
				status, body, _, err := s.do(s.request(http.MethodGet, "/safe/"))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, "done")
			})
		})
	}
}

// Guards against a caller that closes its sending side and gets an empty answer that
// looks complete.
func TestCallerThatClosesItsSideGetsNoEmptyAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newHarness(t)
			s.add(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(10 * time.Second):
				case <-r.Context().Done():
				}
			})
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: id-1\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", path)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			got, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "")
		})
	}
}
