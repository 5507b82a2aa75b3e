package leasestore

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// fakeTable is an in-memory table that counts its reads.
type fakeTable struct {
	platform.Table
	rows  []platform.Row // sorted by key
	calls int
}

func (f *fakeTable) put(t *testing.T, key string, value any) {
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	f.rows = append(f.rows, platform.Row{Key: key, Value: raw, Revision: uint64(len(f.rows) + 1)})
	slices.SortFunc(f.rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
}

func (f *fakeTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	f.calls++
	var out []platform.Row
	for _, key := range keys {
		row := platform.Row{Key: key}
		for _, r := range f.rows {
			if r.Key == key {
				row = r
			}
		}
		out = append(out, row)
	}
	return out, nil
}

func (f *fakeTable) List(_ context.Context, prefix, _ string, limit int) ([]platform.Row, error) {
	f.calls++
	var out []platform.Row
	for _, r := range f.rows {
		if strings.HasPrefix(r.Key, prefix) && len(out) < limit {
			out = append(out, r)
		}
	}
	return out, nil
}

// Calls of the platform are expensive, so Read must make only one.
func TestReadMakesOneCall(t *testing.T) {
	for name, all := range map[string]bool{"holder": true, "candidate": false} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTable{}
			f.put(t, lease.Key("praha"), lease.Row{Term: 3, Holder: "e1"})
			f.put(t, lease.Key("praha-2"), lease.Row{Term: 9})
			f.put(t, lease.CandidateKey("praha", "e1"), lease.Candidate{VM: "e1"})
			f.put(t, lease.CandidateKey("praha", "e2"), lease.Candidate{VM: "e2"})
			ev, err := Read(context.Background(), f, lease.ReadRows{
				ID: 5, Key: lease.Key("praha"), Own: lease.CandidateKey("praha", "e2"), All: all,
			})
			assert.NilError(t, err)
			assert.Equal(t, f.calls, 1)
			assert.Equal(t, ev.Read, uint64(5))
			assert.Equal(t, ev.Row.Term, uint64(3))
			assert.Equal(t, ev.Revision, uint64(1))
			assert.Equal(t, len(ev.Registrations), map[bool]int{true: 2, false: 1}[all])
		})
	}
}

func TestReadEmptyTable(t *testing.T) {
	ev, err := Read(context.Background(), &fakeTable{}, lease.ReadRows{Key: lease.Key("praha"), Own: "x", All: true})
	assert.NilError(t, err)
	assert.Assert(t, ev.Row == nil)
	assert.Equal(t, ev.Revision, uint64(0))
}
