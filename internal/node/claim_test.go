package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// claimAddresses writes a row of another writer for each endpoint, with its address.
func (s *testSite) claimAddresses(service string) {
	for i, row := range s.store.Rows("servers") {
		var endpoint map[string]any
		assert.NilError(s.t, json.Unmarshal(row.Value, &endpoint))
		err := s.store.Put("servers", fmt.Sprint("z-", i), map[string]any{
			"service": service, "address": endpoint["address"], "zone": "dc-a", "slots": 6, "state": "ready", "born": time.Now().UnixMilli(),
		})
		assert.NilError(s.t, err)
	}
}

// Guards against endpoints that get nothing any more because another writer's rows, of a
// service that no configuration names, have their addresses (review/8).
func TestAnotherWritersRowsTakeNoEndpointAway(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
		s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	}
	s.claimAddresses("ledger")
	time.Sleep(2 * time.Second)
	for _, n := range s.nodes {
		s.within(time.Second, "orders", s.canServe(n, "/order/x", "key"))
		s.within(time.Second, "streams", s.canServe(n, "/ask/x", "key"))
	}
}

// Guards against the same for good where the service of the other writer's rows is named.
func TestEndpointsWhoseAddressesAreClaimedAreServedAgain(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
	}
	s.claimAddresses("slow")
	time.Sleep(fleet.MaxStaleRow + 2*time.Second)
	for _, n := range s.nodes {
		s.within(time.Second, "orders", s.canServe(n, "/order/x", "key"))
		s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	}
}
