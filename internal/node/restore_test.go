package node

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// restore makes the store unavailable for a moment, after which it comes back from
// a copy.
func (s *testSite) restore(snapshot cloud.Snapshot) {
	s.store.Fail(cloud.Busy)
	time.Sleep(500 * time.Millisecond)
	s.store.Restore(snapshot)
	s.store.Fail(cloud.Healthy)
}

// Guards against nodes that wait for versions which the restored store gives out
// again, and never hear of a later configuration.
func TestConfigurationComesInForceAfterRestore(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
	}
	snapshot := s.store.Snapshot()
	for version := 2; version < 12; version++ {
		s.configure(version, "key") // raises the store's version beyond the copy's
	}
	time.Sleep(time.Second)
	s.restore(snapshot)
	time.Sleep(time.Second)
	s.configure(12, "new")
	for _, n := range s.nodes {
		s.within(3*time.Second, "the configuration after the restore", s.canServe(n, "/order/x", "new"))
	}
}

// Guards against a configuration that was in force and is withdrawn by the copy.
func TestRestoreWithdrawsNoConfiguration(t *testing.T) {
	s := newTestSite(t)
	for _, n := range s.nodes {
		s.eventually("orders", s.canServe(n, "/order/x", "key"))
	}
	snapshot := s.store.Snapshot()
	s.configure(2, "new")
	for _, n := range s.nodes {
		s.eventually("the new key", s.canServe(n, "/order/x", "new"))
	}
	s.restore(snapshot)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range s.nodes {
			status, _ := s.call(n, http.MethodPost, "/order/x", "key")
			assert.Assert(t, status != http.StatusOK, "the withdrawn key is accepted again")
		}
	}
	s.configure(3, "newest")
	for _, n := range s.nodes {
		s.within(3*time.Second, "the configuration after the restore", s.canServe(n, "/order/x", "newest"))
	}
}

// Guards against nodes that call a restored store without a pause.
func TestRestoredStoreIsCalledAtTheUsualRate(t *testing.T) {
	s := newTestSite(t)
	s.eventually("streams", s.canServe(s.nodes[0], "/ask/x", "key"))
	snapshot := s.store.Snapshot()
	for version := 2; version < 12; version++ {
		s.configure(version, "key")
	}
	time.Sleep(time.Second)
	s.restore(snapshot)
	time.Sleep(time.Second)
	before := len(s.store.Calls())
	time.Sleep(3 * time.Second)
	perSecond := float64(len(s.store.Calls())-before) / 3
	// Two nodes read three tables and the lease at intervals of 350 ms and more.
	assert.Assert(t, perSecond < 2*4/0.35, "%.0f calls a second", perSecond)
}

// Guards against a lease that nobody holds, or whose terms are given out again.
func TestLeaseHasANewTermAfterEachRestore(t *testing.T) {
	s := newTestSite(t)
	n := s.nodes[0]
	s.eventually("streams", s.canServe(n, "/ask/x", "key"))
	newest := uint64(0)
	for range 2 {
		snapshot := s.store.Snapshot()
		for version := 0; version < 10; version++ {
			s.configure(2, "key")
		}
		time.Sleep(1500 * time.Millisecond)
		newest = max(newest, s.newestEpoch())
		s.restore(snapshot)
		time.Sleep(time.Second)
		s.store.Rewrite()
		// A restart of a member makes the lease holder form a group again.
		assert.NilError(t, s.member().Restart())
		s.eventually("a group with a number that was never given out", func() bool { return s.newestEpoch() > newest })
	}
	s.eventually("streams", s.canServe(n, "/ask/x", "key"))
}

// member returns a VM of the group that was formed last.
func (s *testSite) member() *cloud.Engine {
	newest := s.newestEpoch()
	return s.engines[slices.IndexFunc(s.engines, func(e *cloud.Engine) bool { return e.Epoch() == newest })]
}

// newestEpoch returns the highest number of a group that a VM has joined.
func (s *testSite) newestEpoch() uint64 {
	newest := uint64(0)
	for _, e := range s.engines {
		newest = max(newest, e.Epoch())
	}
	return newest
}

// within polls a condition and fails the test if it isn't met within d.
func (s *testSite) within(d time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not within %s: %s", d, what)
}
