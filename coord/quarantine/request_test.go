package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// request returns the part that identifies the request with a number.
func request(n int) Part { return Part(n) | requestBit }

func TestRequestUnderWhichThreeEndpointsEndedIsQuarantined(t *testing.T) {
	s := newSite(t, 3)
	for i := range endsToQuarantine {
		s.end(i, []Part{first, request(1)}, []Part{first, request(10 + i)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	s.assertQuarantined(request(1))
}

// The part that all of its ends share is not blamed for a request.
func TestPartOfADeadlyRequestIsNotQuarantined(t *testing.T) {
	s := newSite(t, 3)
	for i := range 2 * endsToQuarantine {
		s.end(i%3, []Part{first, request(1)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	s.assertQuarantined(request(1))
}

// Every request with the deadly part ends two endpoints, as after one repeat.
func TestRequestsWithADeadlyPartDoNotHideIt(t *testing.T) {
	s := newSite(t, 3)
	s.answer(0, first)
	for i := range 4 {
		s.end(i%3, []Part{first, deadly, request(i / 2)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	assert.Assert(t, s.nodes[2].Check(s.now, Query{Parts: []Part{first, deadly, request(9)}}) != nil)
	assert.Assert(t, s.nodes[2].Check(s.now, Query{Parts: []Part{first, request(9)}}) == nil)
}

func TestRequestWithTwoEndsIsNotQuarantined(t *testing.T) {
	s := newSite(t, 3)
	for i := range endsToQuarantine - 1 {
		s.end(i, []Part{first, request(1)}, []Part{first, request(2)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	s.assertQuarantined()
	s.end(2, []Part{first, request(2)})
	s.pass(time.Second)
	s.assertQuarantined(request(2))
}

// A request that is often the same, as a look at a status, and was answered.
func TestAnsweredRequestIsClearedOfEarlierEnds(t *testing.T) {
	s := newSite(t, 3)
	for i := range 8 {
		s.end(i%3, []Part{request(1)})
		s.pass(300 * time.Millisecond)
		s.answer((i+1)%3, request(1))
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	s.assertQuarantined()
}

func TestEndsAtOneMomentQuarantineNoRequest(t *testing.T) {
	s := newSite(t, 3)
	for i := range 12 {
		s.end(i%3, []Part{request(1)})
	}
	s.pass(10 * time.Second)
	s.assertQuarantined()
}

// A node that starts later learns of a quarantined request from its row.
func TestQuarantinedRequestHasARow(t *testing.T) {
	s := newSite(t, 1)
	for range endsToQuarantine {
		s.end(0, []Part{request(1)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	other, wall := NewRecord(), time.Now()
	for _, row := range s.nodes[0].Rows(s.now, wall) {
		other.ApplyRow(s.now, wall, row)
	}
	assert.Assert(t, other.Check(s.now, Query{Parts: []Part{request(1)}}) != nil)
}

// A node that has seen only its own requests break off hears of the others' later.
func TestRequestBesideADeadlyOneIsNotKeptInQuarantine(t *testing.T) {
	s := newSite(t, 3)
	const sound, bad = 1, 2
	for range endsToQuarantine {
		s.end(1, []Part{request(sound)})
		s.vms-- // the same endpoint
		s.end(2, []Part{request(bad)})
		s.pass(200 * time.Millisecond)
	}
	s.end(2, []Part{request(bad)})
	s.pass(settlingPeriod + 2*expireInterval)
	s.assertQuarantined(request(bad))
}

// More ends show that another request accounts for those of one in quarantine.
func TestRequestWhoseEndsAnotherExplainsIsReleased(t *testing.T) {
	s := newSite(t, 3)
	const sound, bad = 1, 2
	for range endsToQuarantine {
		s.end(1, []Part{request(sound)})
		s.pass(time.Second)
	}
	s.pass(time.Second)
	s.assertQuarantined(request(sound))
	for vm := range endsToQuarantine + 1 { // the breaks of the other one at the same endpoints, told late
		s.vms = vm
		s.end(2, []Part{request(bad)})
		s.pass(time.Second)
	}
	s.pass(settlingPeriod + 2*expireInterval)
	s.assertQuarantined(request(bad))
}

// Sound requests share a part that was not answered yet, and stand beside the deadly
// one at its endpoints. One node doesn't know yet that it was at the last of them.
func TestPartBesideADeadlyRequestIsNotQuarantined(t *testing.T) {
	s := newSite(t, 1)
	const other Part = 0x0abc
	for i := range 4 {
		prompts := [][]Part{{other, request(10 + i)}}
		if i < 3 {
			prompts = append(prompts, []Part{first, request(1)})
		}
		s.end(0, prompts...)
		s.pass(300 * time.Millisecond)
	}
	s.pass(2 * time.Second)
	s.assertQuarantined(request(1))
}

// Each trial of a request that is still deadly costs an endpoint.
func TestRequestIsTriedAgainTwiceAtMost(t *testing.T) {
	s := newSite(t, 2)
	for range endsToQuarantine {
		s.end(0, []Part{request(1)})
		s.pass(time.Second)
	}
	s.assertQuarantined(request(1))
	trials := 0
	for range 20 {
		s.pass(quarantineTerm / 2)
		if s.nodes[0].Check(s.now, Query{Parts: []Part{request(1)}, MayTry: true}) == nil {
			trials++
			s.end(0, []Part{request(1)})
			s.pass(time.Second)
		}
	}
	assert.Equal(t, trials, maxTrials)
	row := s.nodes[1].Rows(s.now, time.Now())[0]
	assert.Equal(t, row.Trials, maxTrials, "a node that starts later knows it")
}

// A node hears of the deadly request's last end after that of another one there.
func TestDeadlyRequestIsNotReleasedOnPartialKnowledge(t *testing.T) {
	s := newSite(t, 2)
	const sound, bad = 1, 2
	for range endsToQuarantine {
		s.end(0, []Part{request(sound)})
		s.vms--
		s.end(1, []Part{request(bad)})
		s.pass(300 * time.Millisecond)
	}
	s.end(0, []Part{request(sound)})
	s.pass(400 * time.Millisecond)
	s.vms--
	s.end(1, []Part{request(bad)})
	s.pass(3 * time.Second)
	for i, n := range s.nodes {
		assert.Assert(t, n.Check(s.now, Query{Parts: []Part{request(bad)}}) != nil, "node %d", i)
	}
}
