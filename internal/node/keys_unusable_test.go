package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against withdrawn keys that stay valid because the configuration that withdraws
// them can't be used: for an odd figure elsewhere, or as its list of accounts can't be read.
func TestKeyIsWithdrawnByAConfigurationThatCannotBeUsed(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
	}
	accounts := func(keys ...string) []any { return []any{map[string]any{"name": "acc", "api-keys": keys}} }
	odd := map[string]any{"idle-timeout-ms": -1}
	s.publish(3, map[string]any{"limits": odd, "tenants": accounts("second")})
	for _, n := range s.nodes {
		s.eventually("refusals of the withdrawn key", s.answers(n, "/order/x", "key", http.StatusUnauthorized))
		assert.Assert(t, s.canServe(n, "/order/x", "second")(), "the key that takes its place")
	}
	s.publish(5, map[string]any{"tenants": "gone"})
	time.Sleep(5 * time.Second)
	for _, n := range s.nodes {
		before := s.shop.Runs()
		status, _ := s.call(n, http.MethodPost, "/order/x", "second")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, s.shop.Runs(), before)
		status, _ = s.call(n, http.MethodGet, "/open/x", "")
		assert.Equal(t, status, http.StatusOK, "a public route without a key")
	}
	s.configure(7, "third")
	for _, n := range s.nodes {
		s.eventually("orders with the next key", s.canServe(n, "/order/x", "third"))
		s.eventually("refusals of the other key", s.answers(n, "/order/x", "second", http.StatusUnauthorized))
	}
}
