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

// neverSkipped fails the test if a registration is skipped.
func neverSkipped(t *testing.T) func(key string, err error) {
	return func(key string, err error) { t.Errorf("skipped %s: %v", key, err) }
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
			}, neverSkipped(t))
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
	ev, err := Read(context.Background(), &fakeTable{}, lease.ReadRows{Key: lease.Key("praha"), Own: "x", All: true}, neverSkipped(t))
	assert.NilError(t, err)
	assert.Assert(t, ev.Row == nil)
	assert.Equal(t, ev.Revision, uint64(0))
}

// putRaw adds a row with the given value.
func (f *fakeTable) putRaw(key, value string) {
	f.rows = append(f.rows, platform.Row{Key: key, Value: []byte(value), Revision: uint64(len(f.rows) + 1)})
	slices.SortFunc(f.rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
}

// One odd registration failed every read of the holder, which lost its lease, and of
// its successors.
func TestOddRegistrationLeavesLeaseReadable(t *testing.T) {
	for name, value := range map[string]string{
		"empty": ``, "not closed": `{`, "no object": `[]`, "another type": `{"vm":7}`, "null": `null`, "no name": `{}`,
		"name of another VM": `{"vm":"e1","incarnation":"x"}`, "deeply nested": strings.Repeat("[", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeTable{}
			f.put(t, lease.Key("praha"), lease.Row{Term: 3, Holder: "e1"})
			f.put(t, lease.CandidateKey("praha", "e1"), lease.Candidate{VM: "e1"})
			f.putRaw(lease.CandidateKey("praha", "e2"), value)
			var skipped []string
			ev, err := Read(context.Background(), f, lease.ReadRows{
				ID: 5, Key: lease.Key("praha"), Own: lease.CandidateKey("praha", "e1"), All: true,
			}, func(key string, _ error) { skipped = append(skipped, key) })
			assert.NilError(t, err)
			assert.DeepEqual(t, skipped, []string{lease.CandidateKey("praha", "e2")})
			assert.Equal(t, ev.Row.Term, uint64(3))
			assert.DeepEqual(t, ev.Registrations, []lease.Registration{{Candidate: lease.Candidate{VM: "e1"}, Revision: 2}})
		})
	}
}

// A VM whose own registration is odd must learn its revision, so that it can write
// the registration again.
func TestOddOwnRegistrationCanBeReplaced(t *testing.T) {
	for _, value := range []string{`{`, `null`, `{"vm":"e1","incarnation":"x"}`} {
		f := &fakeTable{}
		f.put(t, lease.Key("praha"), lease.Row{Term: 3, Holder: "e1"})
		f.putRaw(lease.CandidateKey("praha", "e2"), value)
		ev, err := Read(context.Background(), f, lease.ReadRows{Key: lease.Key("praha"), Own: lease.CandidateKey("praha", "e2")},
			func(string, error) {})
		assert.NilError(t, err)
		assert.DeepEqual(t, ev.Registrations, []lease.Registration{{Candidate: lease.Candidate{VM: "e2"}, Revision: 2}})
	}
}
