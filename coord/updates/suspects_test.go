package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func vmNames(suspects []Suspect) []string {
	out := []string{}
	for _, s := range suspects {
		out = append(out, s.VM)
	}
	return out
}

func TestSuspectsInRequestsAndAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSuspects()
	s.AddOwn(now, []string{"own"})
	s.AddFromRequest(now, []Suspect{{VM: "below"}})
	s.AddFromAnswer(now, []Suspect{{VM: "above"}})
	assert.DeepEqual(t, vmNames(s.ForRequest(now)), []string{"below", "own"})
	assert.DeepEqual(t, vmNames(s.ForAnswer(now)), []string{"above", "below", "own"})
}

// Two nodes that exchange a suspicion must not keep it alive.
func TestUnrenewedSuspicionExpires(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := NewSuspects(), NewSuspects()
	a.AddOwn(now, []string{"x"})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		b.AddFromRequest(now, a.ForRequest(now))
		a.AddFromRequest(now, b.ForRequest(now))
		b.AddFromAnswer(now, a.ForAnswer(now))
	}
	assert.Equal(t, len(a.ForAnswer(now))+len(b.ForAnswer(now)), 0)
}

func TestNewestSuspicionWins(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSuspects()
	s.AddFromRequest(now, []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
	s.AddFromRequest(now, []Suspect{{VM: "x", Age: 800 * time.Millisecond}})
	assert.DeepEqual(t, s.ForRequest(now), []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
}
