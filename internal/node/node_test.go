package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
	"github.com/pimentoshore/pimentoshore/platform"
)

// testSite has two entry VMs, four model VMs in one domain, and a VM of a service
// without models.
type testSite struct {
	t       *testing.T
	store   *cloud.Store
	engines []*cloud.Engine
	shop    *cloud.PlainService
	nodes   []*runningNode
	parts   string // parts of the prompts of calls
}

// runningNode is a started node with its settings.
type runningNode struct {
	cfg   settings.Entry
	proxy *storeProxy
	stop  context.CancelFunc
	done  chan error
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t, store: cloud.NewStore()}
	t.Cleanup(s.store.Server.Close)
	s.configure(1, "key")
	for i := range 4 {
		e, err := cloud.NewEngine(s.store, fmt.Sprint("i-", i), "llm", "dc-a", "d0")
		assert.NilError(t, err)
		t.Cleanup(e.Server.Close)
		s.engines = append(s.engines, e)
	}
	var err error
	s.shop, err = cloud.NewPlainService(s.store, "s-1", "shop", "dc-a")
	assert.NilError(t, err)
	t.Cleanup(s.shop.Server.Close)
	for i := range 2 {
		s.start(fmt.Sprint("entry-", i))
	}
	return s
}

// configure publishes a configuration with one account that has the given key.
func (s *testSite) configure(version int, key string) {
	s.publish(version, map[string]any{"tenants": []any{map[string]any{"name": "acc", "api-keys": []string{key}}}})
}

// publish publishes a configuration with additional fields.
func (s *testSite) publish(version int, fields map[string]any) {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": "h", "prefix": prefix, "kind": kind, "service": service, "attempts": 2, "timeout-ms": 3000,
			"slo-ms": 500, "gap-target-ms": 300, "resumable": kind == "stream",
		}
	}
	slow := route("/slow/", "unsafe", "slow")
	slow["timeout-ms"] = 30000
	open := route("/open/", "safe", "shop")
	open["public"] = true
	config := map[string]any{
		"version": version,
		"routes":  []any{route("/ask/", "stream", "llm"), route("/order/", "unsafe", "shop"), route("/look/", "safe", "shop"), slow, open},
		"services": []any{
			map[string]any{"name": "shop"},
			map[string]any{"name": "slow"},
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": 26, "loads-per-s": 4, "loads_at_once": 6, "form-ms": 20, "report_lag_ms": 10,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 1, "warm-s": 0.1}},
			}},
		},
		"limits": map[string]any{"max-body-bytes": 100000},
	}
	maps.Copy(config, fields)
	assert.NilError(s.t, s.store.Put("op", "config", config))
}

// lastNodeIP numbers the nodes' loopback addresses. Outgoing connections use
// another address, so they never occupy a port that a node will listen on.
var lastNodeIP atomic.Int32

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%250+1, lastNodeIP.Add(1)%250+1)
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(t, err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func (s *testSite) start(vm string) *runningNode {
	proxy := newStoreProxy(s.t, s.store)
	free := freeAddresses(s.t, 3)
	cfg := settings.Entry{
		VM: vm, DataCentre: "dc-a", Store: proxy.address(),
		Listen: settings.EntryListen{Callers: free[0], Ready: free[1], Peers: free[2]},
		Bounds: settings.EntryBounds{
			KeysValid: 5 * time.Second, DrainWithin: 2 * time.Second, StopGrace: 8 * time.Second,
			GroupStall: 5 * time.Second, RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second, ColdOverage: 1.5,
			LoadWindow: 5 * time.Second,
		},
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("vm", vm)
	client := upstream.New(nil)
	registry := metrics.NewRegistry()
	store := platform.NewStore(cfg.Store, registry, func(table, key string, err error) { s.t.Logf("skipped %s/%s: %v", table, key, err) })
	engines := platform.NewEngines(client)
	n, err := New(cfg, log, registry, client, Backends{
		Table: store, Source: store.Published(), Quarantine: store, Engines: engines, Orders: engines,
		Protocol: platform.Protocol(), ReadyPath: platform.ReadyPath,
	})
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{cfg: cfg, proxy: proxy, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- n.Run(ctx) }()
	s.t.Cleanup(cancel)
	s.nodes = append(s.nodes, r)
	return r
}

func (s *testSite) call(n *runningNode, method, path, key string) (status int, body string) {
	req, err := http.NewRequest(method, "http://"+n.cfg.Listen.Callers+path, nil)
	assert.NilError(s.t, err)
	req.Host = "h"
	req.Header.Set("Pimentoshore-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Pimentoshore-Model", "m")
	req.Header.Set("Pimentoshore-Prefix-Hash", s.parts)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

// eventually polls a condition and fails the test if it isn't met within 30 s.
func (s *testSite) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for %s", what)
}

// canServe returns a condition that is met once the node serves a request.
func (s *testSite) canServe(n *runningNode, path, key string) func() bool {
	return func() bool {
		status, _ := s.call(n, http.MethodPost, path, key)
		return status == http.StatusOK
	}
}

func TestNodesServeAllRouteKinds(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("streams", s.canServe(n, "/ask/x", "key"))
		_, body := s.call(n, http.MethodPost, "/ask/x", "key")
		assert.Equal(t, strings.Count(body, "data: piece\n\n"), 4)
		before := s.shop.Runs()
		status, body := s.call(n, http.MethodPost, "/order/x", "key")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "order taken for acc")
		assert.Equal(t, s.shop.Runs(), before+1)
		status, _ = s.call(n, http.MethodGet, "/look/x", "key")
		assert.Equal(t, status, http.StatusOK)
		status, _ = s.call(n, http.MethodGet, "/look/x", "other")
		assert.Equal(t, status, http.StatusUnauthorized)
		resp, err := http.Get("http://" + n.cfg.Listen.Ready + platform.ReadyPath)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

func TestConfigurationChangeTakesEffectAndRemovedKeyIsRejected(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("orders", s.canServe(n, "/order/x", "key"))
	s.configure(2, "new")
	s.eventually("the new key", s.canServe(n, "/order/x", "new"))
	status, _ := s.call(n, http.MethodPost, "/order/x", "key")
	assert.Equal(t, status, http.StatusUnauthorized)
}

// During an outage of the store, requests are served while keys are valid. Then
// requests with a key are refused until the store is available again.
func TestStoreOutage(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("orders", s.canServe(n, "/order/x", "key"))
	s.store.Fail(cloud.Busy)
	status, _ := s.call(n, http.MethodPost, "/order/x", "key")
	assert.Equal(t, status, http.StatusOK)
	s.eventually("a refusal", func() bool {
		status, _ := s.call(n, http.MethodPost, "/order/x", "key")
		return status == http.StatusServiceUnavailable
	})
	runs := s.shop.Runs()
	status, _ = s.call(n, http.MethodPost, "/order/x", "key")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, s.shop.Runs(), runs)
	s.store.Fail(cloud.Healthy)
	s.eventually("orders after the outage", s.canServe(n, "/order/x", "key"))
	s.eventually("streams after the outage", s.canServe(n, "/ask/x", "key"))
}

func TestDiscardedHistoryTriggersFullRead(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("orders", s.canServe(n, "/order/x", "key"))
	s.store.Fail(cloud.Busy)
	s.configure(2, "new")
	s.store.DropHistory()
	s.store.Fail(cloud.Healthy)
	s.eventually("the new key", s.canServe(n, "/order/x", "new"))
}

func TestCoordinatorSurvivesLostStoreResponses(t *testing.T) {
	s := newTestSite(t)
	s.store.Fail(cloud.Lost)
	s.eventually("streams", s.canServe(s.nodes[0], "/ask/x", "key"))
}

func TestLostMemberIsReplaced(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	s.engines[0].Server.CloseClientConnections()
	s.engines[0].Server.Close()
	served := 0
	s.eventually("streams by the remaining members", func() bool {
		if status, _ := s.call(n, http.MethodPost, "/ask/x", "key"); status == http.StatusOK {
			served++
		}
		return served >= 20
	})
}

func TestGracefulStopCompletesRunningRequests(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	for _, e := range s.engines {
		e.SetEvents(200) // takes more than a second
	}
	type result struct {
		status int
		body   string
	}
	got := make(chan result)
	go func() {
		status, body := s.call(n, http.MethodPost, "/ask/x", "key")
		got <- result{status, body}
	}()
	time.Sleep(100 * time.Millisecond)
	n.stop()
	r := <-got
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, strings.Count(r.body, "data: piece\n\n"), 200)
	assert.NilError(t, <-n.done)
	s.eventually("streams by the other node", s.canServe(s.nodes[1], "/ask/x", "key"))
}
