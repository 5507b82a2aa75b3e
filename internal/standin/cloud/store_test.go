package cloud

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a silent store that waits for the end of a connection without
// reading the request body. It never detected the close, and the soak test hung
// in its cleanup.
func TestSilentStoreDetectsClosedConnection(t *testing.T) {
	s := NewStore()
	s.Fail(Silent)
	client := &http.Client{Timeout: 50 * time.Millisecond}
	_, err := client.Post(s.Server.URL+"/rows-tx", "application/json", strings.NewReader(strings.Repeat(" ", 1<<20)))
	assert.Assert(t, err != nil)
	closed := make(chan struct{})
	go func() {
		s.Server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the store did not close within 10 s")
	}
}

// fetch sends a GET request to the store and returns the status, the era and the
// body.
func fetch(t *testing.T, s *Store, path string) (status int, era string, a answer) {
	t.Helper()
	resp, err := http.Get(s.Server.URL + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.StatusCode == http.StatusOK {
		assert.NilError(t, json.Unmarshal(raw, &a))
	}
	return resp.StatusCode, resp.Header.Get("Store-Era"), a
}

// commit writes a row by a transaction.
func commit(t *testing.T, s *Store, table, key string) {
	t.Helper()
	body := fmt.Sprintf(`{"set-keys":[{"table":%q,"key":%q,"value":"MQ=="}]}`, table, key)
	resp, err := http.Post(s.Server.URL+"/rows-tx", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func newTestStore(t *testing.T) *Store {
	s := NewStore()
	t.Cleanup(s.Server.Close)
	return s
}

// Guards against an answer without the era, from which a client can't tell that
// versions went back.
func TestEveryAnswerHasEra(t *testing.T) {
	s := newTestStore(t)
	for _, era := range []string{"1", "2", "3"} {
		for path, want := range map[string]int{
			"/rows-get?table=op":               http.StatusOK,
			"/rows-feed?table=op&after=0":      http.StatusOK,
			"/rows-feed?table=op&after=1":      http.StatusGone,
			"/rows-tx":                         http.StatusMethodNotAllowed,
			"/no-such-call":                    http.StatusNotFound,
			"/rows-feed?table=op&after=999999": http.StatusGone,
		} {
			status, got, _ := fetch(t, s, path)
			assert.Equal(t, status, want, path)
			assert.Equal(t, got, era, path)
		}
		s.Fail(Busy)
		status, got, _ := fetch(t, s, "/rows-get?table=op")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, got, era)
		s.Fail(Healthy)
		s.Restore(s.Snapshot())
	}
}

// Guards against a restore that keeps rows or versions of after the copy.
func TestRestoreUndoesWrites(t *testing.T) {
	s := newTestStore(t)
	assert.NilError(t, s.Put("op", "config", 1))
	copied := s.Snapshot()
	assert.NilError(t, s.Put("op", "config", 2))
	commit(t, s, "leases", "a")
	s.Restore(copied)
	_, _, a := fetch(t, s, "/rows-get?table=leases")
	assert.Equal(t, len(a.Rows), 0)
	_, _, a = fetch(t, s, "/rows-get?table=op")
	assert.Equal(t, string(a.Rows[0].Value), "1")
	assert.Equal(t, a.Version, uint64(1))
	status, _, _ := fetch(t, s, "/rows-feed?table=op&after=3")
	assert.Equal(t, status, http.StatusGone)
	commit(t, s, "leases", "b")
	_, _, a = fetch(t, s, "/rows-feed?table=leases&after=1")
	assert.Equal(t, len(a.Rows), 1)
	assert.Equal(t, a.Rows[0].Version, uint64(2))
}

// Guards against a waiting feed that goes on as if its version were of the new
// era, because as many writes followed the restore as it undid.
func TestRestoreEndsWaitingFeed(t *testing.T) {
	s := newTestStore(t)
	copied := s.Snapshot()
	assert.NilError(t, s.Put("op", "config", 1))
	ended := make(chan int)
	go func() {
		resp, err := http.Get(s.Server.URL + "/rows-feed?table=servers&after=1&wait-ms=10000")
		if err != nil {
			ended <- 0
			return
		}
		_ = resp.Body.Close() // only the status matters
		ended <- resp.StatusCode
	}()
	time.Sleep(100 * time.Millisecond) // the feed waits
	s.Restore(copied)
	assert.NilError(t, s.Put("servers", "a", 1))
	assert.NilError(t, s.Put("servers", "a", 2))
	assert.Equal(t, <-ended, http.StatusGone)
}

// Guards against a rewriting that writes the system's own rows, forgets a
// deletion or puts an older value over a newer one.
func TestRewriteRepeatsLostWrites(t *testing.T) {
	s := newTestStore(t)
	assert.NilError(t, s.Put("op", "evacuate/dc", 1))
	copied := s.Snapshot()
	assert.NilError(t, s.Put("op", "config", 2))
	assert.NilError(t, s.Put("op", "config", 3))
	assert.NilError(t, s.Put("servers", "a", 1))
	assert.NilError(t, s.Put("other", "x", 1))
	s.Delete("op", "evacuate/dc")
	commit(t, s, "leases", "a")
	s.Restore(copied)
	assert.NilError(t, s.Put("servers", "a", 2))
	s.Restore(copied) // once more, before the rewriting
	assert.NilError(t, s.Put("servers", "b", 5))
	before := s.version
	s.Rewrite()
	assert.Equal(t, s.version, before+5)
	values := make(map[string]string)
	for name, r := range s.rows {
		values[name] = string(r.Value)
	}
	assert.DeepEqual(t, values, map[string]string{"op/config": "3", "servers/a": "2", "servers/b": "5"})
	s.Rewrite()
	assert.Equal(t, s.version, before+5)

	s.Restore(copied) // also undoes the rewriting
	assert.NilError(t, s.Put("op", "config", 4))
	s.Rewrite()
	assert.Equal(t, string(s.rows["op/config"].Value), "4")
	assert.Equal(t, string(s.rows["servers/a"].Value), "2")
}
