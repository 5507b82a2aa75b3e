package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlyParts are the parts of a prompt under which endpoints end, soundParts those
// of one that shares its first part.
const (
	deadlyParts = "f1:40,dead:30,a1:200"
	soundParts  = "f1:40,a2:200"
)

// callWith sends a request whose prompt has the given parts.
func (s *testSite) callWith(n *runningNode, parts string) (status int, body string) {
	s.parts = parts
	defer func() { s.parts = "" }()
	return s.call(n, http.MethodPost, "/ask/x", "key")
}

func (s *testSite) runs() int {
	runs := 0
	for _, e := range s.engines {
		runs += e.Runs()
	}
	return runs
}

// isQuarantined reports whether a node refuses a prompt with the deadly part
// because endpoints ended under it.
func (s *testSite) isQuarantined(n *runningNode) bool {
	status, body := s.callWith(n, deadlyParts)
	return status == http.StatusServiceUnavailable && strings.Contains(body, `"quarantined"`)
}

// The part is quarantined at all nodes, and at a node that starts after all others
// have stopped.
func TestQuarantineOutlastsAllNodes(t *testing.T) {
	s := newTestSite(t)
	answersSound := func(n *runningNode) func() bool {
		return func() bool {
			status, _ := s.callWith(n, soundParts)
			return status == http.StatusOK
		}
	}
	for _, n := range s.nodes {
		s.eventually("answers", answersSound(n))
	}
	s.waitForSingleReader()
	for _, e := range s.engines {
		e.SetDeadlyPart("dead")
	}
	for i := 0; !s.isQuarantined(s.nodes[0]) || !s.isQuarantined(s.nodes[1]); i++ {
		assert.Assert(t, i < 20, "the part is not quarantined after %d rounds", i)
		s.eventually("groups", answersSound(s.nodes[i%2]))
	}
	s.eventually("a row in the store", func() bool { return len(s.store.Rows("pimentoshore-quarantine")) == 1 })
	for _, n := range s.nodes {
		n.stop()
		assert.NilError(t, <-n.done)
	}
	n := s.start("entry-9")
	s.eventually("answers", answersSound(n))
	s.eventually("quarantine", func() bool {
		before := s.runs()
		return s.isQuarantined(n) && s.runs() == before
	})
	time.Sleep(time.Second)
	assert.Assert(t, s.isQuarantined(n))

	for _, e := range s.engines {
		e.SetDeadlyPart("")
	}
	s.store.Delete("pimentoshore-quarantine", "dead")
	s.eventually("release by an operator", func() bool {
		status, _ := s.callWith(n, deadlyParts)
		return status == http.StatusOK
	})
}
