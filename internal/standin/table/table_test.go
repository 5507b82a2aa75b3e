package table

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
)

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	s := New(Options{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, platform.NewClient(platform.ClientOptions{URLs: []string{server.URL}})
}

var writeA = platform.Txn{
	Conditions: []platform.Condition{{Key: "a"}},
	Writes:     []platform.Write{{Key: "a", Value: []byte("1")}},
}

func TestClientRoundTrip(t *testing.T) {
	ctx := context.Background()
	s, client := start(t)
	revision, err := client.Commit(ctx, writeA)
	assert.NilError(t, err)
	_, err = client.Commit(ctx, writeA)
	assert.ErrorIs(t, err, platform.ErrConflict)

	want := []platform.Row{{Key: "a", Value: []byte("1"), Revision: revision}}
	rows, err := client.Get(ctx, "a")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, want)
	rows, err = client.List(ctx, "", "", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, want)

	s.Table().SetVMs([]platform.VMStatus{{Name: "vm1", Leaving: true}})
	vms, err := client.VMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []platform.VMStatus{{Name: "vm1", Leaving: true}})
}

func TestClientReportsWhetherWriteOutcomeIsKnown(t *testing.T) {
	tests := []struct {
		name    string
		faults  memtable.Faults
		want    error
		written bool
	}{
		{"down", memtable.Faults{Down: true}, platform.ErrUnavailable, false},
		{"answer lost", memtable.Faults{LoseAnswers: 1}, platform.ErrUnknown, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s, client := start(t)
			s.Table().SetFaults(tc.faults)
			_, err := client.Commit(context.Background(), writeA)
			assert.ErrorIs(t, err, tc.want)
			s.Table().SetFaults(memtable.Faults{})
			rows, err := client.Get(context.Background(), "a")
			assert.NilError(t, err)
			assert.Equal(t, rows[0].Revision > 0, tc.written)
		})
	}
}

func TestClientTimeoutLeavesWriteOutcomeUnknown(t *testing.T) {
	s, _ := start(t)
	server := httptest.NewServer(s)
	defer server.Close()
	s.Table().SetFaults(memtable.Faults{Slow: 300 * time.Millisecond})
	client := platform.NewClient(platform.ClientOptions{URLs: []string{server.URL}, Timeout: 50 * time.Millisecond})
	_, err := client.Commit(context.Background(), writeA)
	assert.ErrorIs(t, err, platform.ErrUnknown)
	_, err = client.Get(context.Background(), "a")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestClientTriesNextURL(t *testing.T) {
	s := New(Options{})
	server := httptest.NewServer(s)
	defer server.Close()
	closed := httptest.NewServer(s)
	closed.Close()
	client := platform.NewClient(platform.ClientOptions{URLs: []string{closed.URL, server.URL}})
	_, err := client.Commit(context.Background(), writeA)
	assert.NilError(t, err)
	assert.Equal(t, s.Table().Counts().Writes, uint64(1))

	closedOnly := platform.NewClient(platform.ClientOptions{URLs: []string{closed.URL}})
	_, err = closedOnly.Commit(context.Background(), writeA)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}
