package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
)

const (
	testKey     = "test-key"
	testModel   = "gloves"
	testService = "glove-orders"
	// eventuallyTimeout bounds how long the cluster may take to reach a state.
	eventuallyTimeout = 30 * time.Second
)

// cluster is a small system in one process: a table, engines, services and
// entry VMs in several data centres.
type cluster struct {
	t          testing.TB
	table      *memtable.Table
	doc        inventory.Document
	engines    map[string]*engine.Engine
	services   map[string]*service.Service
	nodes      map[string]*runningNode
	startFuncs []func()
	// tokenTime is the engines' time per token.
	tokenTime time.Duration
	// isolated holds the name of the data centre that is cut off from the
	// others and from the platform, if any.
	isolated atomic.Value
	tls      *tlsconf.Store // nil means plain TCP
}

type runningNode struct {
	*Node
	callers string
	stop    context.CancelFunc
	done    chan struct{}
}

func newCluster(t testing.TB, dataCentres ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, table: memtable.New(memtable.Options{}), tokenTime: time.Millisecond,
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}, nodes: map[string]*runningNode{},
	}
	hash := sha256.Sum256([]byte(testKey))
	c.doc = inventory.Document{
		Models: []inventory.Model{{Name: testModel, GroupSize: 2, MaxInFlight: 16, ColdInFlight: 4}},
		Services: []inventory.Service{{
			Name: testService, MaxInFlight: 16, ColdInFlight: 4,
			Routes: []inventory.Route{{Method: http.MethodPost, Prefix: "/orders", NotRunStatuses: []int{http.StatusServiceUnavailable}}},
		}},
		ClientAccounts: []inventory.ClientAccount{{Name: "archive", MaxInFlight: 64, KeyHashes: []string{hex.EncodeToString(hash[:])}}},
	}
	for _, dc := range dataCentres {
		c.addDataCentre(dc)
	}
	logDelays(t)
	return c
}

// logDelays logs, if the test fails, for how long the process was not scheduled: the
// daemons' leases and reports last for a real time.
func logDelays(t testing.TB) {
	const interval = 10 * time.Millisecond
	stop, done := make(chan struct{}), make(chan struct{})
	var longest, total time.Duration
	go func() {
		defer close(done)
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			late := time.Since(last) - interval
			longest = max(longest, late)
			total += late
		}
	}()
	started := time.Now()
	t.Cleanup(func() {
		close(stop)
		<-done
		if t.Failed() {
			t.Logf("of %s the process came late by %s in all, by %s at most", time.Since(started), total, longest)
		}
	})
}

func (c *cluster) addDataCentre(dc string) {
	c.doc.DataCentres = append(c.doc.DataCentres, inventory.DataCentre{Name: dc, Region: "cz"})
	for i := range 3 {
		c.addEngine(dc, fmt.Sprintf("%s-m%d", dc, i))
	}
	c.addService(dc, dc+"-s0")
}

func (c *cluster) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	// Close does not wait for handlers, which injected faults may block.
	c.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func (c *cluster) addEngine(dc, vm string) {
	e := engine.New(engine.Options{VM: vm, ChecksFencing: true, LoadTime: 50 * time.Millisecond, TokenTime: c.tokenTime})
	c.engines[vm] = e
	c.doc.VMs = append(c.doc.VMs, inventory.VM{
		Name: vm, DataCentre: dc, FabricDomain: "f1", Role: inventory.RoleModel,
		Address: c.serve(e), ChecksFencing: true, Accelerators: 2,
	})
}

func (c *cluster) addService(dc, vm string) {
	s := service.New(service.Options{VM: vm})
	c.services[vm] = s
	c.doc.VMs = append(c.doc.VMs, inventory.VM{
		Name: vm, DataCentre: dc, Role: inventory.RoleService, Service: testService, Address: c.serve(s),
	})
}

// addNode opens an entry VM's listeners and adds it to the document.
func (c *cluster) addNode(dc, vm string) { c.addNodeWith(dc, vm, func(*settings.Settings) {}) }

// addNodeWith adds an entry VM as addNode does, with changed settings.
func (c *cluster) addNodeWith(dc, vm string, change func(*settings.Settings)) {
	l, err := Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	assert.NilError(c.t, err)
	set := settings.Default()
	set.VM, set.DataCentre = vm, dc
	set.Listen = settings.Listen{Callers: l.Callers.Addr().String(), Peers: l.Peers.Addr().String(), Operators: l.Operators.Addr().String()}
	set.Intervals.Probe = 100 * time.Millisecond
	set.Intervals.Exchange = 100 * time.Millisecond
	set.Intervals.Lease = 3 * time.Second
	set.Intervals.ConfigPoll = 200 * time.Millisecond
	set.Intervals.StopGrace = 2 * time.Second
	set.Limits.RequestTimeout = 20 * time.Second
	change(&set)
	c.doc.VMs = append(c.doc.VMs, inventory.VM{Name: vm, DataCentre: dc, Role: inventory.RoleEntry, Address: set.Listen.Peers})
	c.startFuncs = append(c.startFuncs, func() { c.start(set, l) })
}

// startAll starts the nodes added so far.
func (c *cluster) startAll() {
	for _, start := range c.startFuncs {
		start()
	}
	c.startFuncs = nil
	c.t.Cleanup(c.stopAll)
}

func (c *cluster) start(set settings.Settings, l Listeners) {
	out := io.Discard
	if testing.Verbose() {
		out = os.Stderr
	}
	n := New(Options{
		Settings: set, Logger: slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("vm", set.VM),
		Registry: metrics.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer(""), Platform: partitionedTable{c.table, c, set.DataCentre},
		wrapTransport: func(rt http.RoundTripper) http.RoundTripper { return partitionedTransport{rt, c, set.DataCentre} }, TLS: c.tls,
	})
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{Node: n, callers: set.Listen.Callers, stop: stop, done: make(chan struct{})}
	c.nodes[set.VM] = r
	go func() {
		defer close(r.done)
		if err := n.Run(ctx, l); err != nil {
			c.t.Error(err)
		}
	}()
}

// stopAll stops the nodes at the same time.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

// apply stores the cluster's document as the configuration in force.
func (c *cluster) apply() {
	c.t.Helper()
	var vms []platform.VMStatus
	for _, vm := range c.doc.VMs {
		vms = append(vms, platform.VMStatus{Name: vm.Name})
	}
	c.table.SetVMs(vms)
	ctx := context.Background()
	base, err := configstore.New(c.table).Read(ctx)
	assert.NilError(c.t, err)
	_, err = configstore.New(c.table).Propose(ctx, base, config.Normalize(c.doc), "test")
	assert.NilError(c.t, err)
}

// eventually polls until the condition is true and fails the test after
// eventuallyTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %s: %s", eventuallyTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a client's request to a node.
func (c *cluster) call(vm, method, path, body string, header ...string) (status int, answer string, h http.Header) {
	c.t.Helper()
	req, err := http.NewRequest(method, "http://"+c.nodes[vm].callers+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, string(raw), resp.Header
}

// canServe reports whether a node answers a completion.
func (c *cluster) canServe(vm string) bool {
	_, ok := c.complete(vm)
	return ok
}

// servesLocally reports whether a completion through a node is answered by a
// group of the node's own data centre.
func (c *cluster) servesLocally(vm string) bool {
	hops, ok := c.complete(vm)
	return ok && strings.Contains(hops, ">"+c.nodes[vm].settings.DataCentre+"/")
}

// complete sends a completion through a node and returns the hops it took.
func (c *cluster) complete(vm string) (hops string, ok bool) {
	status, answer, h := c.call(vm, http.MethodPost, "/v1/completions", `{"model":"gloves","prompt":"cotton","max_tokens":4}`)
	if status != http.StatusOK {
		c.t.Logf("%s answered %d: %s", vm, status, answer)
	}
	return h.Get("Pimentoshore-Hops"), status == http.StatusOK
}

func TestWholePath(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha", "brno")
	c.addNode("praha", "praha-e0")
	c.addNode("praha", "praha-e1")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a completion through every node", func() bool {
		return c.canServe("praha-e0") && c.canServe("praha-e1") && c.canServe("brno-e0")
	})

	t.Run("stream", func(t *testing.T) {
		status, answer, h := c.call("praha-e0", http.MethodPost, "/v1/chat/completions",
			`{"model":"gloves","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"which gloves for vellum?"}]}`)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(answer), "data: [DONE]"), answer)
		assert.Assert(t, strings.HasPrefix(h.Get("Pimentoshore-Hops"), "praha-e0>"), h)
	})
	t.Run("order once through two nodes", func(t *testing.T) {
		body := `{"order_id":"o-1","item":"cotton gloves","quantity":12}`
		status, first, _ := c.call("praha-e0", http.MethodPost, "/services/glove-orders/orders", body, "Idempotency-Key", "k-1")
		assert.Equal(t, status, http.StatusOK, first)
		eventually(t, "the recorded answer through another data centre", func() bool {
			status, again, _ := c.call("brno-e0", http.MethodPost, "/services/glove-orders/orders", body, "Idempotency-Key", "k-1")
			return status == http.StatusOK && again == first
		})
		runs := 0
		for _, s := range c.services {
			runs += s.Runs().Total
		}
		assert.Equal(t, runs, 1)
	})
	t.Run("refusals", func(t *testing.T) {
		status, _, _ := c.call("praha-e0", http.MethodGet, "/v1/models", "", "Authorization", "Bearer wrong")
		assert.Equal(t, status, http.StatusUnauthorized)
		status, answer, _ := c.call("praha-e0", http.MethodPost, "/v1/completions", `{"model":"nope"}`)
		assert.Equal(t, status, http.StatusNotFound)
		assert.Assert(t, strings.Contains(answer, `"ran":"no"`), answer)
		status, _, _ = c.call("praha-e0", http.MethodPost, "/v1/completions", `{"model":`)
		assert.Equal(t, status, http.StatusBadRequest)
	})
}
