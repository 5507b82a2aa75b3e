package review

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// keyVersions is the number of changes of the configuration in the case.
	keyVersions = 6
	// configWithin is config-ms.
	configWithin = 2 * time.Second
	tenantName   = "praha-archive"
	tenantKey    = "n2ctnfzs989anu6wsjnb"
)

// playKey adds routes that need a key below a route that is public, and sends a
// request with the key on each of them to each entry VM at once.
func playKey(w *world) error {
	var shops []*shop
	for i := range 3 {
		s, err := w.addShop(fmt.Sprint("i-shop-", i), "glove-shop", zoneOf(i), 15*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.server.Close()
		shops = append(shops, s)
	}
	if err := w.configureKeyed(1); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := w.addNode(zoneOf(i), memoryMB, w.store.Address()); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for version := 2; version <= 1+keyVersions; version++ {
		if err := w.configureKeyed(version); err != nil {
			return err
		}
		w.note("version %d is confirmed", version)
		if !w.trouble {
			time.Sleep(configWithin)
		}
		w.sendKeyed(version)
		time.Sleep(time.Second)
	}
	leaked := 0
	for _, s := range shops {
		leaked += s.countLeaks()
	}
	if leaked > 0 {
		return fmt.Errorf("%w: UNASKED, a client's key was passed on with %d requests that ran", errBroken, leaked)
	}
	return nil
}

func zoneOf(i int) string { return "cz-central-" + string(rune('a'+i%3)) }

// configureKeyed publishes a version in which the routes of versions 2 and later,
// below a public one, need a key.
func (w *world) configureKeyed(version int) error {
	routes := []any{route("/order/", "unsafe", "glove-shop", object{"public": true})}
	for v := 2; v <= version; v++ {
		routes = append(routes, route(fmt.Sprintf("/order/v%d/", v), "unsafe", "glove-shop", nil))
	}
	return w.store.Put("op", "config", object{
		"version": version, "routes": routes,
		"services": []any{object{"name": "glove-shop", "max-conns": 110}},
		"tenants":  []any{object{"name": tenantName, "api-keys": []string{tenantKey}}},
		"limits":   object{"max-body-bytes": bodyBytes, "max-header-bytes": 16384, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
}

// sendKeyed sends a request with a key on the route that a version added to each
// entry VM.
func (w *world) sendKeyed(version int) {
	var wg sync.WaitGroup
	for i, n := range w.nodes {
		wg.Go(func() {
			id := fmt.Sprintf("v%d-at-%d", version, i)
			status, _, err := n.request(http.MethodPost, fmt.Sprintf("/order/v%d/x", version), id, http.Header{"Authorization": {"Bearer " + tenantKey}})
			w.note("%s: sent to %s with a key; status %d, error %v", id, n.name, status, err)
		})
	}
	wg.Wait()
}

// countLeaks returns the number of requests that ran here and brought the key.
func (s *shop) countLeaks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaks := 0
	for id, header := range s.sent {
		if strings.Contains(header.Get("Authorization"), tenantKey) {
			leaks++
			s.w.note("%s ran %s with the header Authorization: %q and the tenant %q", s.id, id, header.Get("Authorization"), header.Get(headerTenant))
		}
	}
	return leaks
}
