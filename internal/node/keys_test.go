package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that run with a withdrawn key, or with one that never was,
// because the configuration that takes the last key away has a list of client accounts
// without accounts or without keys. With no list at all, no key is needed.
func TestLastKeyIsWithdrawn(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
	}
	version := 1
	for _, accounts := range []string{
		`[]`, `null`, `[null]`, `[{"name":"acc"}]`, `[{"name":"acc","api-keys":null}]`, `[{"name":"acc","api-keys":[]}]`,
		`[{"name":"acc","api-keys":[""]}]`, `[{"api-keys":["key"]}]`,
	} {
		version += 3
		s.publish(version, map[string]any{"tenants": json.RawMessage(accounts)})
		for _, n := range s.nodes {
			s.eventually("refusals of the withdrawn key with accounts "+accounts, s.answers(n, "/order/x", "key", http.StatusUnauthorized))
			before := s.shop.Runs()
			for _, key := range []string{"key", "other", ""} {
				for _, path := range []string{"/order/x", "/look/x", "/ask/x"} {
					status, _ := s.call(n, http.MethodPost, path, key)
					assert.Equal(t, status, http.StatusUnauthorized, "key %q at %s with accounts %s", key, path, accounts)
				}
			}
			status, _ := s.call(n, http.MethodGet, "/open/x", "key")
			assert.Equal(t, status, http.StatusUnauthorized, "a withdrawn key at a public route")
			assert.Equal(t, s.shop.Runs(), before, "runs with accounts %s", accounts)
			status, _ = s.call(n, http.MethodGet, "/open/x", "")
			assert.Equal(t, status, http.StatusOK, "a public route without a key")
		}
		version += 2
		key := fmt.Sprint("key-", version)
		s.configure(version, key)
		for _, n := range s.nodes {
			s.eventually("orders with the next key", s.canServe(n, "/order/x", key))
		}
	}
	s.publish(version+1, nil)
	for _, n := range s.nodes {
		for _, key := range []string{"key", "other", ""} {
			s.eventually("orders without a list of accounts", s.canServe(n, "/order/x", key))
		}
		_, body := s.call(n, http.MethodPost, "/order/x", "key")
		assert.Equal(t, body, "order taken for ")
	}
}

// answers returns a condition that is met once the node answers a request with the
// status.
func (s *testSite) answers(n *runningNode, path, key string, want int) func() bool {
	return func() bool {
		status, _ := s.call(n, http.MethodPost, path, key)
		return status == want
	}
}
