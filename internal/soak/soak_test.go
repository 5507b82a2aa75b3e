package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

var (
	seeds     = flag.Int("seeds", 0, "number of seeds to run; if 0, the first seed and the regression seeds")
	firstSeed = flag.Uint64("first", 1, "first seed to run")
	faultTime = flag.Duration("for", 10*time.Second, "how long faults are injected for each seed")
)

// recoverWithin is the time after the last fault within which every node must
// serve again.
const recoverWithin = 15 * time.Second

// regressions maps each seed that once failed to the cause.
var regressions = map[uint64]string{}

func TestSoak(t *testing.T) {
	runSeeds(t, regressions, scenario{duration: *faultTime, play: func(ctx context.Context, f *faults) { f.run(ctx, f.inject) }})
}

// scenario is a kind of soak.
type scenario struct {
	// duration is how long faults are injected.
	duration time.Duration
	// play injects faults until its context ends, and waits until they have ended.
	play func(context.Context, *faults)
	// strict is whether versions of the configuration vary, callers also use
	// withdrawn keys, and the checks of checkStrictly apply.
	strict bool
}

func runSeeds(t *testing.T, regressions map[uint64]string, sc scenario) {
	if *seeds == 0 {
		runSeed(t, *firstSeed, sc)
		for seed := range regressions {
			runSeed(t, seed, sc)
		}
		return
	}
	for i := range *seeds {
		runSeed(t, *firstSeed+uint64(i), sc)
	}
}

func runSeed(t *testing.T, seed uint64, sc scenario) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		s := newSite(t)
		s.varied = sc.strict
		for _, n := range s.nodes {
			n.start()
		}
		for _, n := range s.nodes {
			s.waitUntilServing(n)
		}
		f := &faults{site: s, rng: rand.New(rand.NewPCG(seed, 1)), silentUntil: make(map[string]time.Time)}
		c := &callers{site: s, withdrawn: sc.strict}
		callCtx, stop := context.WithCancel(context.Background())
		c.start(callCtx)
		faultCtx, end := context.WithTimeout(context.Background(), sc.duration)
		defer end()
		sc.play(faultCtx, f)
		s.clearFaults()
		for _, n := range s.nodes {
			s.waitUntilServing(n)
		}
		stop()
		c.wg.Wait()
		// A refused request must not run later either, so leave it time to do so.
		time.Sleep(500 * time.Millisecond)
		ch := &checker{site: s, faults: f}
		ch.checkAll(c.calls)
		if sc.strict {
			ch.checkStrictly(c.calls)
		}
		ch.report(t, c.calls)
		if !t.Failed() {
			os.RemoveAll(s.dir)
		}
	})
}

// clearFaults clears the faults of the store and all links, and ends
// evacuations.
func (s *site) clearFaults() {
	s.store.Fail(cloud.Healthy)
	for _, p := range slices.Concat(s.engineLinks, s.shopLinks, s.storeLinks) {
		p.Set(wire.Clear)
	}
	for i := range 2 {
		s.setEvacuated(dataCentre(i), false)
	}
}

// waitUntilServing starts the node if necessary and fails the test unless it is
// ready and answers each kind of request within recoverWithin.
func (s *site) waitUntilServing(n *process) {
	s.t.Helper()
	client := &http.Client{Timeout: time.Second}
	why := ""
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n.start()
		why = ""
		for _, kind := range []string{"order", "look", "ask"} {
			c := send(client, n, kind, fmt.Sprintf("f%x", time.Now().UnixNano()), s.currentAccount())
			if !c.isCorrect() {
				why = fmt.Sprintf("%s: %d %v %.200s", kind, c.status, c.err, c.body)
			}
		}
		if why == "" && s.isReady(n) {
			return
		}
	}
	s.t.Errorf("%s does not serve within %s: %s; logs in %s", n.vm, recoverWithin, why, s.dir)
}

// checker checks the guarantees and collects their violations.
type checker struct {
	site       *site
	faults     *faults
	violations []string
}

func (ch *checker) fail(format string, args ...any) {
	ch.violations = append(ch.violations, fmt.Sprintf(format, args...))
}

func (ch *checker) checkAll(all []call) {
	for i := range all {
		ch.checkCall(&all[i])
	}
	for _, violation := range ch.site.ledger.Violations() {
		ch.fail("groups: %s", violation)
	}
	ch.site.ledger.All(ch.checkRuns)
	for _, n := range ch.site.nodes {
		if err := n.unexpectedExit(); err != nil {
			ch.fail("%s", err)
		}
	}
	for _, err := range ch.faults.errs {
		ch.fail("%s", err)
	}
}

// checkCall checks the answer that a caller received against the runs at
// endpoints.
func (ch *checker) checkCall(c *call) {
	runs := ch.site.ledger.Runs(c.id)
	ch.checkAccounts(c, runs)
	switch {
	case c.kind == "order" && len(runs) > 1:
		ch.fail("at most once: order %s ran %d times: %v", c.id, len(runs), runs)
	case c.kind == "order" && c.isRefused() && len(runs) > 0:
		ch.fail("refusals: order %s was refused with %d but ran: %v", c.id, c.status, runs)
	case c.status == http.StatusOK && c.err == nil && !c.isCorrect():
		ch.fail("answers: %s %s got a success with an unexpected body: %.300q", c.kind, c.id, c.body)
	case c.status == http.StatusOK && len(runs) == 0:
		ch.fail("answers: %s %s got a success although no endpoint ran it", c.kind, c.id)
	case c.status == http.StatusNotFound:
		ch.fail("denied: %s %s got %d: %.300s", c.kind, c.id, c.status, c.body)
	case c.err != nil && c.kind != "ask" && !c.node.hadFaultSince(c.sentAt.Add(-effectDuration)):
		ch.fail("lost: %s %s to %s at %s got no answer: %v", c.kind, c.id, c.node.vm, c.sentAt.Format("05.000"), c.err)
	}
}

// checkAccounts checks that a request ran under the account of its key alone.
func (ch *checker) checkAccounts(c *call, runs []cloud.Run) {
	for _, r := range runs {
		if r.Account != c.account {
			ch.fail("accounts: %s %s of %s ran under account %q", c.kind, c.id, c.account, r.Account)
		}
	}
}

// checkRuns checks that no request ran with a key that had been withdrawn for
// longer than keyValidity.
func (ch *checker) checkRuns(id string, runs []cloud.Run) {
	for _, r := range runs {
		at, withdrawn := ch.site.withdrawnAt[r.Account]
		if withdrawn && r.At.Sub(at) > keyValidity {
			ch.fail("keys: %s ran for %s %s after its key was withdrawn", id, r.Account, r.At.Sub(at))
		}
	}
}

func (ch *checker) report(t *testing.T, all []call) {
	served, calls := 0, 0
	statuses := make(map[int]int)
	for i := range all {
		if all[i].withdrawn {
			continue
		}
		calls++
		statuses[all[i].status]++
		if all[i].isCorrect() {
			served++
		}
	}
	t.Logf("%d calls with the newest key, %d served, %d faults; calls by status: %v", calls, served, len(ch.faults.log), statuses)
	assert.Check(t, served > 0)
	if len(ch.violations) == 0 {
		return
	}
	t.Errorf("%d violations; logs in %s\n%s\nfaults:\n%s", len(ch.violations), ch.site.dir,
		strings.Join(ch.violations[:min(20, len(ch.violations))], "\n"), strings.Join(ch.faults.log, "\n"))
}
