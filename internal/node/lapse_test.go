package node

import (
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// Guards against servers that count as gone for good because their rows lapsed in an
// outage of the store and were written again before a node read the changes (review/6).
func TestServersThatAreListedAgainAfterAnOutageAreServed(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
		s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	}
	s.store.Fail(cloud.Busy)
	time.Sleep(500 * time.Millisecond)
	s.store.Relist("servers")
	s.store.Fail(cloud.Healthy)
	time.Sleep(updates.RelistGrace + time.Second)
	for _, n := range s.nodes {
		s.within(time.Second, "orders after the outage", s.canServe(n, "/order/x", "key"))
		s.within(time.Second, "streams after the outage", s.canServe(n, "/ask/x", "key"))
	}
}
