package news

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
	s.Seen(now, []string{"own"})
	s.Asked(now, []Suspect{{VM: "below"}})
	s.Told(now, []Suspect{{VM: "above"}})
	assert.DeepEqual(t, vmNames(s.Up(now)), []string{"below", "own"})
	assert.DeepEqual(t, vmNames(s.Down(now)), []string{"above", "below", "own"})
}

// Two nodes that exchange a suspicion must not keep it alive.
func TestUnrenewedSuspicionExpires(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := NewSuspects(), NewSuspects()
	a.Seen(now, []string{"x"})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		b.Asked(now, a.Up(now))
		a.Asked(now, b.Up(now))
		b.Told(now, a.Down(now))
	}
	assert.Equal(t, len(a.Down(now))+len(b.Down(now)), 0)
}

func TestNewestSuspicionWins(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSuspects()
	s.Asked(now, []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
	s.Asked(now, []Suspect{{VM: "x", Age: 800 * time.Millisecond}})
	assert.DeepEqual(t, s.Up(now), []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
}
