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
	seeds = flag.Int("seeds", 0, "how many seeds to run, beside those of regressions if it is 0")
	first = flag.Uint64("first", 1, "the first of these seeds")
	lasts = flag.Duration("for", 10*time.Second, "how long faults are injected")
)

// recoverWithin is how long after the last fault every node serves again.
const recoverWithin = 15 * time.Second

// regressions are the seeds that have failed, with the cause.
var regressions = map[uint64]string{}

func TestSoak(t *testing.T) {
	if *seeds == 0 {
		run(t, *first)
		for seed := range regressions {
			run(t, seed)
		}
		return
	}
	for i := range *seeds {
		run(t, *first+uint64(i))
	}
}

func run(t *testing.T, seed uint64) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		s := newSite(t)
		for _, n := range s.nodes {
			n.start()
		}
		for _, n := range s.nodes {
			s.serves(n)
		}
		f := &faults{site: s, rng: rand.New(rand.NewPCG(seed, 1))}
		c := &callers{site: s}
		calling, stop := context.WithCancel(context.Background())
		c.run(calling)
		striking, end := context.WithTimeout(context.Background(), *lasts)
		defer end()
		f.run(striking)
		s.calm()
		for _, n := range s.nodes {
			s.serves(n)
		}
		stop()
		c.wg.Wait()
		// What was refused must not run later either.
		time.Sleep(500 * time.Millisecond)
		j := &judge{site: s, faults: f}
		j.judge(c.all)
		j.report(t, c.all)
		if !t.Failed() {
			os.RemoveAll(s.dir)
		}
	})
}

// calm ends what is left of the faults.
func (s *site) calm() {
	s.store.Fail(cloud.Healthy)
	for _, p := range slices.Concat(s.engineLinks, s.shopLinks, s.doors) {
		p.Set(wire.Clear)
	}
	for i := range 2 {
		s.evacuate(dataCentre(i), false)
	}
}

// serves waits until a node answers each kind of request.
func (s *site) serves(n *process) {
	s.t.Helper()
	client := &http.Client{Timeout: time.Second}
	why := ""
	for end := time.Now().Add(recoverWithin); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n.start()
		why = ""
		for _, kind := range []string{"order", "look", "ask"} {
			c := send(client, n, kind, fmt.Sprintf("f%x", time.Now().UnixNano()), s.present())
			if !c.whole() {
				why = fmt.Sprintf("%s: %d %v %.200s", kind, c.status, c.err, c.body)
			}
		}
		if why == "" && s.ready(n) {
			return
		}
	}
	s.t.Errorf("%s does not serve within %s: %s; logs in %s", n.vm, recoverWithin, why, s.dir)
}

// judge finds broken promises.
type judge struct {
	site   *site
	faults *faults
	broken []string
}

func (j *judge) fail(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

func (j *judge) judge(all []call) {
	for i := range all {
		j.answer(&all[i])
	}
	for _, what := range j.site.ledger.Violations() {
		j.fail("groups: %s", what)
	}
	j.site.ledger.All(j.runs)
	for _, n := range j.site.nodes {
		if err := n.failure(); err != nil {
			j.fail("%s", err)
		}
	}
	for _, err := range j.faults.errs {
		j.fail("%s", err)
	}
}

// answer checks what a caller got against what endpoints did.
func (j *judge) answer(c *call) {
	runs := j.site.ledger.Runs(c.id)
	switch {
	case c.kind == "order" && len(runs) > 1:
		j.fail("once: order %s ran %d times: %v", c.id, len(runs), runs)
	case c.kind == "order" && c.refused() && len(runs) > 0:
		j.fail("refusals are true: order %s got %d and ran at %v", c.id, c.status, runs)
	case c.status == http.StatusOK && c.err == nil && !c.whole():
		j.fail("answers: %s %s got a success that is not its own: %.300q", c.kind, c.id, c.body)
	case c.status == http.StatusOK && len(runs) == 0:
		j.fail("answers: %s %s got a success that no endpoint gave", c.kind, c.id)
	case c.status == http.StatusNotFound:
		j.fail("denied: %s %s got %d: %.300s", c.kind, c.id, c.status, c.body)
	case c.err != nil && c.kind != "ask" && !c.node.struckSince(c.sentAt.Add(-settled)):
		j.fail("lost: %s %s to %s at %s got no answer: %v", c.kind, c.id, c.node.vm, c.sentAt.Format("05.000"), c.err)
	}
}

// runs checks that nothing ran under a key that was withdrawn long enough ago.
func (j *judge) runs(id string, runs []cloud.Run) {
	for _, r := range runs {
		at, gone := j.site.withdrawn[r.Account]
		if gone && r.At.Sub(at) > keysValid {
			j.fail("keys: %s ran for %s %s after its key was withdrawn", id, r.Account, r.At.Sub(at))
		}
	}
}

func (j *judge) report(t *testing.T, all []call) {
	served := 0
	for i := range all {
		if all[i].whole() {
			served++
		}
	}
	t.Logf("%d calls, %d served, %d faults", len(all), served, len(j.faults.log))
	assert.Check(t, served > 0)
	if len(j.broken) == 0 {
		return
	}
	t.Errorf("%d broken promises; logs in %s\n%s\nfaults:\n%s", len(j.broken), j.site.dir,
		strings.Join(j.broken[:min(20, len(j.broken))], "\n"), strings.Join(j.faults.log, "\n"))
}
