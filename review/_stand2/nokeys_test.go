package review

import (
	"fmt"
	"net/http"
	"time"
)

// revokeWithin is revoke-ms of a small deployment.
const revokeWithin = 5 * time.Second

// lastKeyWithdrawn plays the withdrawal of the only key: the next config has an empty
// list of tenants. Requests that are sent later than revoke-ms after its confirmation
// must not run.
func lastKeyWithdrawn(w *world, trouble bool) (broken bool, err error) {
	s, err := w.addServer("i-desk1", "desk", "z-a")
	if err != nil {
		return false, err
	}
	routes := []route{{"/order/", "unsafe", "desk"}, {"/status/", "safe", "desk"}}
	if err := w.configure([]string{"desk"}, routes); err != nil {
		return false, err
	}
	for _, zone := range []string{"z-a", "z-b"} {
		if err := w.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	client := &http.Client{Timeout: 3 * time.Second}
	const before = 4
	if n := w.try(client, "before", "key-1"); n != before {
		return false, fmt.Errorf("%d of %d requests were served before", n, before)
	}
	if n := w.try(client, "unknown", "key-of-nobody"); n != 0 {
		return false, fmt.Errorf("%d requests with an unknown key were served before", n)
	}
	if trouble {
		w.tenants = []any{}
	}
	if err := w.configure([]string{"desk"}, routes); err != nil {
		return false, err
	}
	w.logf("version %d is confirmed; its tenants: %v", w.version, w.tenants)
	time.Sleep(revokeWithin + 2*time.Second)
	ranBefore := s.ran()
	withdrawn := w.try(client, "later", "key-1")
	unknown := w.try(client, "later-unknown", "key-of-nobody")
	w.logf("later than revoke-ms: %d requests with key-1 and %d with a key that no config ever held were answered with 200; the server ran %d requests", withdrawn, unknown, s.ran()-ranBefore)
	if trouble {
		return s.ran() > ranBefore, nil
	}
	return unknown > 0, nil
}

// try sends two requests with a key to each node, and returns how many were served.
func (w *world) try(client *http.Client, phase, key string) int {
	served := 0
	for _, n := range w.nodes {
		for _, path := range []string{"/order/1", "/status/1"} {
			method := http.MethodGet
			if path == "/order/1" {
				method = http.MethodPost
			}
			if w.sendWithKey(client, n, method, path, fmt.Sprintf("%s-%s%s", phase, n.name, path), key) == http.StatusOK {
				served++
			}
		}
	}
	return served
}
