package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

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
	cat := catalog.New(version, routes, services, nil, catalog.Limits{})
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
func (s *crashSite) ask(n *crashNode, id string) (status int, events []string, err error) {
	client := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return s.network.dial(ctx, address) }}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, n.front.URL+"/ask/", nil)
	assert.NilError(s.t, err)
	req.Host = "h"
	req.Header.Set("X-Id", id)
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
				status, events, err := s.ask(s.node(0), "request-1")
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
				status, events, err := s.ask(s.node(0), "request-1")
				cancel()
				ticks.Wait()
				assertWhole(t, status, events, err)
			})
		})
	}
}
