package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

func pair() *Group {
	return &Group{ID: "praha/m/1", Generation: 7, Model: "m", Members: []string{"a", "b"}}
}

func ready(vm string, rank int) member.Report {
	return member.Report{
		VM: vm, Incarnation: "1", State: member.Ready,
		Group: "praha/m/1", Generation: 7, Model: "m", Rank: rank,
	}
}

func TestWholeNeedsEveryMemberInPlace(t *testing.T) {
	at := time.Unix(100, 0)
	tests := []struct {
		name string
		edit func(r *member.Report)
		code Code
	}{
		{"in place", func(*member.Report) {}, OK},
		{"loading", func(r *member.Report) { r.State = member.Loading }, StillLoading},
		{"idle", func(r *member.Report) { *r = member.Report{VM: "b", State: member.Idle} }, NotJoined},
		{"other group", func(r *member.Report) { r.Group = "praha/m/2" }, InOtherGroup},
		{"other generation", func(r *member.Report) { r.Generation = 6 }, InOtherGroup},
		{"other model", func(r *member.Report) { r.Model = "n" }, InOtherGroup},
		{"other rank", func(r *member.Report) { r.Rank = 0 }, InOtherGroup},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			reports := NewReports(Options{ReportTTL: 2 * time.Second})
			reports.Observe(at, ready("a", 0))
			r := ready("b", 1)
			tc.edit(&r)
			reports.Observe(at, r)
			assert.Equal(t, reports.IsWhole(pair(), at.Add(time.Second)), tc.code == OK)
			assert.Equal(t, reports.Reason(pair(), at.Add(time.Second)).Code, tc.code)
		})
	}
}

func TestReportsExpireFromWhenTheProbeWasSent(t *testing.T) {
	at := time.Unix(100, 0)
	reports := NewReports(Options{ReportTTL: 2 * time.Second})
	reports.Observe(at, ready("a", 0))
	reports.Observe(at.Add(time.Second), ready("b", 1))
	assert.Assert(t, reports.IsWhole(pair(), at.Add(2*time.Second-1)))
	assert.Assert(t, !reports.IsWhole(pair(), at.Add(2*time.Second)))
	assert.Equal(t, reports.Reason(pair(), at.Add(2*time.Second)), Reason{Code: NotReporting, VM: "a"})
}

func TestReportsKeepTheLatestProbe(t *testing.T) {
	at := time.Unix(100, 0)
	reports := NewReports(Options{})
	assert.Equal(t, reports.Observe(at, ready("a", 0)), Change{NewIncarnation: true, Moved: true})
	late := ready("a", 1)
	assert.Equal(t, reports.Observe(at.Add(-1), late), Change{Stale: true})
	cold := member.Report{VM: "a", Incarnation: "2", State: member.Idle}
	assert.Equal(t, reports.Observe(at.Add(1), cold), Change{NewIncarnation: true, Moved: true})
	reports.RecordRefusal(at.Add(2), "a")
	assert.Equal(t, reports.Reason(pair(), at.Add(2)).Code, EngineRefused)
	assert.Equal(t, reports.Observe(at.Add(1), cold), Change{Stale: true})
	assert.Equal(t, reports.Observe(at.Add(3), cold), Change{})
	assert.Equal(t, reports.Reason(pair(), at.Add(3)).Code, NotJoined)
}

func TestWholeAllocatesNothing(t *testing.T) {
	at := time.Unix(100, 0)
	reports := NewReports(Options{})
	reports.Observe(at, ready("a", 0))
	reports.Observe(at, ready("b", 1))
	g := pair()
	allocs := testing.AllocsPerRun(100, func() {
		reports.Observe(at, ready("a", 0))
		if !reports.IsWhole(g, at) || reports.Reason(g, at).Code != OK {
			t.Fatal("not whole")
		}
	})
	assert.Equal(t, allocs, 0.0)
}
