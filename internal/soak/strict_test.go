package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// The bounds of the users' sheets.
const (
	// contactTime is how long a node and the store must have been without a fault
	// for time bounds to hold.
	contactTime = 3 * time.Second
	// configTime is how long after its confirmation a configuration may not yet be
	// in force.
	configTime = 2 * time.Second
	// drainTime is how long after its confirmation an endpoint's leaving may not yet
	// be known.
	drainTime = 2 * time.Second
	// rollbackSlack is how long after its first effect at a node a configuration may
	// not yet be in force in all of the node.
	rollbackSlack = 250 * time.Millisecond
)

const (
	// maxCallsPerNode is the number of calls a second that a node may make to the
	// store: reads of operators' rows and of VMs every 250 ms at the most frequent,
	// and calls for the lease every 300 ms. The rest allows for quarantined parts.
	maxCallsPerNode = 12
	// callWindow is the span over which calls to the store are counted.
	callWindow = 5 * time.Second
)

// checkStrictly makes the checks that hold while faults are few.
func (ch *checker) checkStrictly(all []call) {
	for i := range all {
		ch.checkWhole(&all[i])
		ch.checkInForce(&all[i])
		ch.checkDrained(&all[i])
	}
	ch.checkRollbacks(all)
	ch.checkStoreCalls()
}

// checkWhole checks that an answer did not end without a fault of its node or of
// the endpoints that ran it.
func (ch *checker) checkWhole(c *call) {
	runs := ch.site.ledger.Runs(c.id)
	failed := len(runs) > 0 && (c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout)
	if c.err == nil && !failed {
		return
	}
	targets := []string{c.node.vm}
	for _, r := range runs {
		targets = append(append(targets, r.Endpoint), r.Group...)
	}
	if ch.faults.isTouched(c.sentAt.Add(-effectDuration), c.endedAt, targets...) {
		return
	}
	ch.fail("whole: %s %s to %s at %s ended after %s with status %d, %d bytes, error %v; ran %v", c.kind, c.id, c.node.vm,
		c.sentAt.Format("05.000"), c.endedAt.Sub(c.sentAt), c.status, len(c.body), c.err, runs)
}

// isWithdrawnBefore reports whether the withdrawal of an account's key was confirmed
// before t.
func (s *site) isWithdrawnBefore(account string, t time.Time) bool {
	at, withdrawn := s.withdrawnAt[account]
	return withdrawn && at.Before(t)
}

// isDenied reports whether the node did not know the key.
func (c *call) isDenied() bool {
	return c.status == http.StatusUnauthorized || c.status == http.StatusForbidden
}

// checkInForce checks that a node without faults had a configuration in force
// configTime after its confirmation.
func (ch *checker) checkInForce(c *call) {
	s := ch.site
	if ch.faults.isTouched(c.sentAt.Add(-contactTime), c.endedAt, c.node.vm, doorOf(c.node.vm), "store") {
		return
	}
	late := c.sentAt.Add(-configTime)
	confirmed, known := s.confirmedAt[c.account]
	switch {
	case c.isDenied() && known && confirmed.Before(late) && !s.isWithdrawnBefore(c.account, c.endedAt):
		ch.fail("in force: %s at %s denied %s %s %s after the confirmation", c.node.vm, c.sentAt.Format("05.000"), c.kind, c.account, c.sentAt.Sub(confirmed))
	case s.isWithdrawnBefore(c.account, late) && len(s.ledger.Runs(c.id)) > 0:
		ch.fail("in force: %s at %s accepted %s %s %s after the withdrawal", c.node.vm, c.sentAt.Format("05.000"), c.kind, c.account,
			c.sentAt.Sub(s.withdrawnAt[c.account]))
	}
}

// checkDrained checks that a node that must know of an endpoint's leaving sends it no
// more requests, whatever the store says later.
func (ch *checker) checkDrained(c *call) {
	f, vm := ch.faults, c.node.vm
	known := f.leftAt.Add(drainTime)
	if f.left == "" || c.sentAt.Before(known) ||
		f.isTouched(f.leftAt.Add(-contactTime), c.endedAt, vm) ||
		f.isTouched(f.leftAt.Add(-contactTime), known, doorOf(vm), "store") {
		return
	}
	for _, r := range ch.site.ledger.Runs(c.id) {
		if r.Endpoint == f.left {
			ch.fail("drained: %s at %s sent %s to %s %s after it left", vm, c.sentAt.Format("05.000"), c.kind, f.left, c.sentAt.Sub(f.leftAt))
		}
	}
}

// effect is the first run of a request, which shows that its node knew the version
// that added the account.
type effect struct {
	at      time.Time
	version int
}

// checkRollbacks checks that no process goes back to an older configuration.
func (ch *checker) checkRollbacks(all []call) {
	type life struct {
		node  *process
		start int
	}
	lives := make(map[life][]call)
	for _, c := range all {
		key := life{c.node, c.start}
		lives[key] = append(lives[key], c)
	}
	for _, calls := range lives {
		ch.checkRollbacksOf(calls)
	}
}

// versionOf returns the version of the configuration that added an account.
func versionOf(account string) int {
	version := 0
	_, _ = fmt.Sscanf(account, "acc-%d", &version) // accounts are named by accountName
	return version
}

// checkRollbacksOf checks the calls to one process.
func (ch *checker) checkRollbacksOf(calls []call) {
	s := ch.site
	var effects []effect
	for i := range calls {
		if runs := s.ledger.Runs(calls[i].id); len(runs) > 0 {
			effects = append(effects, effect{runs[0].At, versionOf(calls[i].account)})
		}
	}
	slices.SortFunc(effects, func(a, b effect) int { return a.at.Compare(b.at) })
	slices.SortFunc(calls, func(a, b call) int { return a.sentAt.Compare(b.sentAt) })
	known := 0
	for _, c := range calls {
		for len(effects) > 0 && effects[0].at.Add(rollbackSlack).Before(c.sentAt) {
			known = max(known, effects[0].version)
			effects = effects[1:]
		}
		version := versionOf(c.account)
		denied := c.isDenied() && version > 0 && version <= known && !s.isWithdrawnBefore(c.account, c.endedAt)
		if accepted := version <= known-2 && len(s.ledger.Runs(c.id)) > 0; denied || accepted {
			ch.fail("rollback: %s at %s answered %s of %s with %d, though it knew version %d", c.node.vm, c.sentAt.Format("05.000"), c.kind, c.account, c.status, known)
		}
	}
}

// checkStoreCalls checks that the nodes do not press the store.
func (ch *checker) checkStoreCalls() {
	limit := int(callWindow.Seconds()) * maxCallsPerNode * len(ch.site.nodes)
	calls := ch.site.store.Calls()
	var most []cloud.Call
	first := 0
	for i, c := range calls {
		for c.At.Sub(calls[first].At) > callWindow {
			first++
		}
		if window := calls[first : i+1]; len(window) > len(most) {
			most = window
		}
	}
	ch.site.t.Logf("at most %d calls to the store within %s", len(most), callWindow)
	if len(most) <= limit {
		return
	}
	kinds := make(map[string]int)
	for _, c := range most {
		kinds[c.Path+" "+c.Table]++
	}
	ch.fail("store: %d calls within %s up to %s, at most %d are expected: %v", len(most), callWindow,
		most[len(most)-1].At.Format("05.000"), limit, kinds)
}
