package news

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func names(suspects []Suspect) []string {
	out := []string{}
	for _, s := range suspects {
		out = append(out, s.VM)
	}
	return out
}

func TestSuspectsGoUpWithQuestionsAndDownWithAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSuspects()
	s.AddOwn(now, []string{"own"})
	s.AddFromRequest(now, []Suspect{{VM: "below"}})
	s.AddFromAnswer(now, []Suspect{{VM: "above"}})
	assert.DeepEqual(t, names(s.ForRequest(now)), []string{"below", "own"})
	assert.DeepEqual(t, names(s.ForAnswer(now)), []string{"above", "below", "own"})
}

// A suspicion that goes round between nodes ends all the same.
func TestSuspicionThatNobodyRenewsEnds(t *testing.T) {
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

func TestNewestSightCounts(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSuspects()
	s.AddFromRequest(now, []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
	s.AddFromRequest(now, []Suspect{{VM: "x", Age: 800 * time.Millisecond}})
	assert.DeepEqual(t, s.ForRequest(now), []Suspect{{VM: "x", Age: 300 * time.Millisecond}})
}
