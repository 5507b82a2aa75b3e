package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/load"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// fakeDaemons starts fake daemons. The first one forms all groups, and each proxies
// requests to one group or service of the inventory.
type fakeDaemons struct {
	once    sync.Once
	ready   bool
	model   string
	service string
}

func (f *fakeDaemons) start(ctx context.Context, s settings.Settings) (string, func(), error) {
	store := configstore.New(platform.NewClient(platform.ClientOptions{URLs: s.Platform.URLs}))
	snapshot, err := store.Read(ctx)
	if err != nil {
		return "", nil, err
	}
	if f.ready {
		f.once.Do(func() { f.formGroups(snapshot.Document) })
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST "+chatPath, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(endpoint.HeaderGroup, "g-"+f.model)
		r.Header.Set(endpoint.HeaderGeneration, "1")
		w.Header().Set(headerHops, s.VM+">"+f.model)
		proxyTo(f.model).ServeHTTP(w, r)
	})
	mux.Handle("POST "+ordersPath, http.StripPrefix("/services/"+Service, proxyTo(f.service)))
	server := httptest.NewServer(mux)
	return server.Listener.Addr().String(), server.Close, nil
}

func proxyTo(address string) http.Handler {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.FlushInterval = -1
	return proxy
}

// formGroups forms groups of two VMs in each fabric domain.
func (f *fakeDaemons) formGroups(doc inventory.Document) {
	first := map[string]inventory.VM{}
	for _, vm := range doc.VMs {
		switch vm.Role {
		case inventory.RoleService:
			f.service = vm.Address
		case inventory.RoleModel:
			if other, ok := first[vm.FabricDomain]; ok {
				f.model = other.Address
				sendJoin(other, "g-"+other.Address, 0)
				sendJoin(vm, "g-"+other.Address, 1)
				delete(first, vm.FabricDomain)
				continue
			}
			first[vm.FabricDomain] = vm
		}
	}
}

func sendJoin(vm inventory.VM, group string, rank int) {
	body := fmt.Sprintf(`{"vm":%q,"action":%q,"group":%q,"generation":1,"model":%q,"rank":%d,"fence":{"term":1,"sequence":1}}`,
		vm.Name, member.Join, group, Model, rank)
	resp, err := http.Post("http://"+vm.Address+endpoint.OrderPath, "application/json", strings.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func TestDemoAnswersTwoRequests(t *testing.T) {
	f := &fakeDaemons{ready: true}
	var out, progress bytes.Buffer
	workload := filepath.Join(t.TempDir(), "load.toml")
	err := Run(context.Background(), Options{StartDaemon: f.start, Out: &out, Err: &progress, Once: true, Workload: workload})
	assert.NilError(t, err)
	w, err := load.ReadWorkload(workload)
	assert.NilError(t, err)
	assert.Equal(t, len(w.Engines), 18)
	for _, want := range []string{"hops:  praha-entry-1 > " + f.model, "order demo-order-1: 24"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

func TestDemoNamesWhatDidNotStart(t *testing.T) {
	f := &fakeDaemons{}
	var out bytes.Buffer
	err := Run(context.Background(), Options{StartDaemon: f.start, Out: &out, Err: &out, Once: true, Timeout: time.Second})
	for _, want := range []string{"daemon brno-entry-1", "fabric domain ostrava-b has 0 of 1 whole groups"} {
		assert.ErrorContains(t, err, want)
	}
	failingStart := func(context.Context, settings.Settings) (string, func(), error) {
		return "", nil, errors.New("no address")
	}
	err = Run(context.Background(), Options{StartDaemon: failingStart, Out: &out, Err: &out, Once: true})
	assert.ErrorContains(t, err, "starting daemon praha-entry-1: no address")
}

func TestSiteIsValid(t *testing.T) {
	s, err := newSite()
	defer s.close()
	assert.NilError(t, err)
	assert.Equal(t, len(s.document.Validate()), 0)
	for _, entry := range s.entries {
		assert.Equal(t, len(entry.Validate()), 0)
		assert.Equal(t, len(entry.Peers), len(s.entries)-1)
	}
}

func TestPostRetriesOnlyIfRequestDidNotRun(t *testing.T) {
	for _, tc := range []struct {
		ran   string
		calls int64
	}{{"no", 2}, {"unknown", 1}} {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) == 1 {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = fmt.Fprintf(w, `{"detail":"nothing serves","remedy":"retry","ran":%q}`, tc.ran)
			}
		}))
		resp, err := post(context.Background(), server.Listener.Addr().String(), chatPath, "", demoOrder)
		if resp != nil {
			_ = resp.Body.Close()
		}
		server.Close()
		assert.Equal(t, calls.Load(), tc.calls)
		assert.Equal(t, err == nil, tc.ran == "no")
	}
}

// TestSiteAddressesDiffer adds data centres to a site, as equal addresses of two
// VMs are rare in a small one.
func TestSiteAddressesDiffer(t *testing.T) {
	const addedDataCentres, entriesEach = 40, 4
	s, err := newSite()
	defer s.close()
	assert.NilError(t, err)
	for i := range addedDataCentres {
		assert.NilError(t, s.addDataCentre(fmt.Sprintf("dc%d", i), entriesEach))
	}
	users := map[string]string{strings.TrimPrefix(s.platformURL, "http://"): "platform"}
	use := func(address, user string) {
		assert.Check(t, users[address] == "", "%s is an address of %s and of %s", address, users[address], user)
		users[address] = user
	}
	for _, vm := range s.document.VMs {
		use(vm.Address, vm.Name)
	}
	for _, entry := range s.entries {
		use(entry.Listen.Callers, entry.VM+" callers")
		use(entry.Listen.Operators, entry.VM+" operators")
	}
}
