package group

import (
	"strconv"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// BenchmarkWhole measures the check before each dispatch, on the size of
// group that the design is for.
func BenchmarkWhole(b *testing.B) {
	now := time.Unix(1000, 0)
	reports := NewReports(Options{})
	g := &Group{ID: "praha/m/1", Generation: 1 << termShift, Model: "m"}
	for rank := range 32 {
		name := "vm" + strconv.Itoa(rank)
		g.Members = append(g.Members, name)
		reports.Observe(now, member.Report{
			VM: name, State: member.Ready, Group: g.ID, Generation: g.Generation, Model: "m", Rank: rank,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		if !reports.IsWhole(g, now) {
			b.Fatal("not whole")
		}
	}
}
