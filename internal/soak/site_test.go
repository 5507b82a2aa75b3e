package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

const (
	nodesPerSite   = 4
	enginesPerSite = 10
	shopsPerSite   = 3
	// shopLatency is how long a plain request runs: long enough that faults hit
	// some requests while they run.
	shopLatency = 60 * time.Millisecond
)

// keyValidity is how long a node may accept a key after it was withdrawn. It
// equals keys_valid in the settings that addNode writes.
const keyValidity = 5 * time.Second

// site is a small platform with entry VMs in two data centres.
type site struct {
	t       *testing.T
	dir     string
	store   *cloud.Store
	ledger  *cloud.Ledger
	engines []*cloud.Engine
	shops   []*cloud.PlainService
	nodes   []*process
	// engineLinks and shopLinks are the proxies before the endpoints, and storeLinks
	// those between each node and the store.
	engineLinks, shopLinks, storeLinks []*wire.Proxy

	// storeAway is whether operators can't write to the store.
	storeAway atomic.Bool

	mu      sync.Mutex
	version int
	// accounts are those of the current version, the newest one last.
	accounts []string
	// varied is whether versions of the configuration also differ in timeouts,
	// limits and routes.
	varied bool
	// confirmedAt is when the store confirmed the version that added an account.
	confirmedAt map[string]time.Time
	// withdrawnAt is when the store confirmed that an account's key was withdrawn.
	withdrawnAt map[string]time.Time
}

func newSite(t *testing.T) *site {
	dir, err := os.MkdirTemp("", "soak-logs")
	assert.NilError(t, err)
	s := &site{t: t, dir: dir, store: cloud.NewStore(), ledger: cloud.NewLedger(), withdrawnAt: make(map[string]time.Time), confirmedAt: make(map[string]time.Time)}
	t.Cleanup(s.store.Server.Close)
	s.withdrawnAt[accountName(0)] = time.Now() // no version has it, and callers try its key
	s.configure()
	for i := range enginesPerSite {
		s.addEngine(i)
	}
	for i := range shopsPerSite {
		s.addShop(i)
	}
	for i := range nodesPerSite {
		s.addNode(i)
	}
	return s
}

func dataCentre(i int) string { return fmt.Sprint("dc-", i%2) }

func shopName(i int) string { return fmt.Sprint("s-", i) }

// newLink starts a proxy before a stand-in.
func (s *site) newLink(server *httptest.Server) *wire.Proxy {
	p, err := wire.New("127.0.0.1", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	return p
}

func (s *site) addEngine(i int) {
	e, err := cloud.NewEngine(s.store, fmt.Sprint("i-", i), "llm", dataCentre(i), "d"+dataCentre(i))
	assert.NilError(s.t, err)
	s.t.Cleanup(e.Server.Close)
	s.t.Cleanup(e.Server.CloseClientConnections)
	e.Ledger = s.ledger
	e.SetEvents(20)
	link := s.newLink(e.Server)
	assert.NilError(s.t, e.Advertise(link.Address()))
	s.engines, s.engineLinks = append(s.engines, e), append(s.engineLinks, link)
}

func (s *site) addShop(i int) {
	shop, err := cloud.NewPlainService(s.store, shopName(i), "shop", dataCentre(i))
	assert.NilError(s.t, err)
	s.t.Cleanup(shop.Server.Close)
	s.t.Cleanup(shop.Server.CloseClientConnections)
	shop.Ledger, shop.RequestTime = s.ledger, shopLatency
	link := s.newLink(shop.Server)
	assert.NilError(s.t, shop.Advertise(link.Address()))
	s.shops, s.shopLinks = append(s.shops, shop), append(s.shopLinks, link)
}

// addNode prepares an entry VM with its own loopback address, so that no
// outgoing connection can take one of its listening ports.
func (s *site) addNode(i int) {
	ip := fmt.Sprintf("127.2.%d.%d", os.Getpid()%250+1, i+1)
	listen := make([]string, 3)
	for k := range listen {
		l, err := net.Listen("tcp", ip+":0")
		assert.NilError(s.t, err)
		listen[k] = l.Addr().String()
		l.Close()
	}
	storeLink := s.newLink(s.store.Server)
	vm := fmt.Sprint("entry-", i)
	text := fmt.Sprintf(`vm = %q
data_centre = %q
store = %q
[listen]
callers = %q
ready = %q
peers = %q
[bounds]
keys_valid = "5s"
stop_grace = "8s"
repeat_slack = 100.0
`, vm, dataCentre(i), storeLink.Address(), listen[0], listen[1], listen[2])
	p := &process{
		t: s.t, vm: vm, settings: filepath.Join(s.dir, vm+".toml"), callerAddress: listen[0], readyAddress: listen[1],
		logPath: filepath.Join(s.dir, vm+".log"),
	}
	assert.NilError(s.t, os.WriteFile(p.settings, []byte(text), 0o600))
	s.nodes, s.storeLinks = append(s.nodes, p), append(s.storeLinks, storeLink)
	s.t.Cleanup(p.kill)
}

// withdrawnTried is the number of newest withdrawn keys that callers try.
const withdrawnTried = 8

// accountName returns the name of the client account that a configuration
// version adds.
func accountName(version int) string { return fmt.Sprint("acc-", version) }

// configure stores the next version of the configuration. It adds an account and keeps
// the newest one of the version before.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	kept := s.accounts[max(0, len(s.accounts)-1):]
	s.publish(append(slices.Clone(kept), accountName(s.version)))
	s.confirmedAt[accountName(s.version)] = time.Now()
}

// withdrawAll stores the next version of the configuration, with an empty list of
// accounts. No version has the account that is named after this one.
func (s *site) withdrawAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.publish(nil)
	s.withdrawnAt[accountName(s.version)] = time.Now()
}

// publish stores a configuration with the given accounts and withdraws those of the
// version before that aren't among them. s.mu must be held.
func (s *site) publish(accounts []string) {
	timeout, gap := 5000, 300
	if s.varied {
		timeout, gap = timeout+1000*(s.version%2), gap+100*(s.version%2)
	}
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": "h", "prefix": prefix, "kind": kind, "service": service, "attempts": 2, "timeout-ms": timeout,
			"slo-ms": 500, "gap-target-ms": gap, "resumable": kind == "stream",
		}
	}
	tenants := []any{}
	for _, account := range accounts {
		tenants = append(tenants, map[string]any{"name": account, "api-keys": []string{"key-" + account}})
	}
	routes := []any{route("/ask/", "stream", "llm"), route("/order/", "unsafe", "shop"), route("/look/", "safe", "shop")}
	limits := map[string]any{"max-body-bytes": 100000}
	if s.varied {
		routes = append(routes, route(fmt.Sprintf("/new-%d/", s.version), "safe", "shop"))
		limits["idle-timeout-ms"] = 4000 + 1000*(s.version%3)
	}
	err := s.store.Put("op", "config", map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "shop"},
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": 26, "loads-per-s": 20, "loads_at_once": 20, "form-ms": 20, "report_lag_ms": 10,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.1}},
			}},
		},
		"limits":  limits,
		"tenants": tenants,
	})
	assert.NilError(s.t, err)
	now := time.Now()
	for _, account := range s.accounts {
		if !slices.Contains(accounts, account) {
			s.withdrawnAt[account] = now
		}
	}
	s.accounts = accounts
}

// currentAccount returns the account that the current version of the
// configuration added.
func (s *site) currentAccount() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return accountName(s.version)
}

// withdrawnAccount returns one of the accounts whose keys were withdrawn last; i
// chooses which one.
func (s *site) withdrawnAccount(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return accountName(max(0, s.version-2-i%withdrawnTried))
}

// setEvacuated starts the evacuation of a data centre if evacuated is true, or
// ends it.
func (s *site) setEvacuated(dc string, evacuated bool) {
	if evacuated {
		assert.NilError(s.t, s.store.Put("op", "evacuate/"+dc, map[string]any{}))
		return
	}
	s.store.Delete("op", "evacuate/"+dc)
}

// isReady reports whether the readiness check of a node succeeds.
func (s *site) isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
