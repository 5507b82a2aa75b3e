package hostile

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

const (
	// entryMemoryMB is the memory of the entry VM: that of the smallest one.
	entryMemoryMB = 112
	// entryEngines is the number of engines. Their groups have two members, and each
	// group has 26 slots.
	entryEngines = 8
	// streamEvents is the number of events of a stream, one in 5 ms: more than a caller
	// that reads nothing lets through.
	streamEvents = 2000
	// streamEventBytes is the size of an event.
	streamEventBytes = 8 << 10
)

// startEntry starts an entry VM on the users' platform.
func startEntry(t *testing.T, openFiles int) *target {
	store := cloud.NewStore()
	t.Cleanup(store.Server.Close)
	t.Cleanup(store.Server.CloseClientConnections)
	configureEntry(t, store)
	for i := range entryEngines {
		e, err := cloud.NewEngine(store, fmt.Sprint("i-", i), "llm", "dc-a", "d0")
		assert.NilError(t, err)
		t.Cleanup(e.Server.Close)
		t.Cleanup(e.Server.CloseClientConnections)
		e.SetEvents(streamEvents)
		e.Server.Config.Handler = largeEvents{e.Server.Config.Handler}
	}
	shop, err := cloud.NewPlainService(store, "s-1", "shop", "dc-a")
	assert.NilError(t, err)
	t.Cleanup(shop.Server.Close)
	t.Cleanup(shop.Server.CloseClientConnections)

	callers := freeAddress(t)
	file := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("vm = \"entry-1\"\ndata_centre = \"dc-a\"\nstore = %q\n[listen]\ncallers = %q\nready = %q\n[memory]\nlimit_mb = %d\n",
		store.Address(), callers, freeAddress(t), entryMemoryMB)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	header := http.Header{}
	header.Set("Authorization", "Bearer key-hostile")
	header.Set("Pimentoshore-Model", "m")
	return &target{
		process: startDaemon(t, openFiles, "entry", "--settings", file), address: callers, host: "h", header: header,
		orderPath: "/order/x", streamPath: "/ask/x", answered: "/nowhere", wordy: "/nowhere/" + strings.Repeat("x", 8<<10),
		memoryMB: entryMemoryMB,
		newOrdinary: func() (*http.Request, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/order/x", strings.NewReader("one pair of gloves"))
			if err != nil {
				return nil, err
			}
			req.Host = "h"
			req.Header.Set("Authorization", "Bearer key-ordinary")
			req.Header.Set("Pimentoshore-Attempt-Id", fmt.Sprint("ordinary-", lastID.Add(1)))
			return req, nil
		},
	}
}

// configureEntry stores the configuration. The timeouts are shorter than on
// deployments, so that a test sees them expire.
func configureEntry(t *testing.T, store *cloud.Store) {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": prefix, "host": "h", "prefix": prefix, "kind": kind, "service": service, "attempts": 2, "timeout-ms": 8000,
			"slo-ms": 500, "gap-target-ms": 300, "resumable": kind == "stream",
		}
	}
	err := store.Put("op", "config", map[string]any{
		"version": 1,
		"routes":  []any{route("/ask/", "stream", "llm"), route("/order/", "unsafe", "shop")},
		"services": []any{
			map[string]any{"name": "shop"},
			map[string]any{"name": "llm", "engine": map[string]any{
				"slots": 26, "loads-per-s": 20, "loads_at_once": 20, "form-ms": 20, "report_lag_ms": 10,
				"models": []any{map[string]any{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.1}},
			}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBody, "header-timeout-ms": 1000, "idle-timeout-ms": 2000},
		"tenants": []any{
			map[string]any{"name": "hostile", "api-keys": []string{"key-hostile"}},
			map[string]any{"name": "ordinary", "api-keys": []string{"key-ordinary"}},
		},
	})
	assert.NilError(t, err)
}

// largeEvents makes the events of an engine large, so that they soon fill the buffers of
// a connection that isn't read.
type largeEvents struct{ http.Handler }

func (h largeEvents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Handler.ServeHTTP(largeEventWriter{w}, r)
}

type largeEventWriter struct{ http.ResponseWriter }

var (
	smallEvent = []byte("data: piece\n")
	largeEvent = []byte("data: " + strings.Repeat("x", streamEventBytes) + "\n")
)

func (w largeEventWriter) Write(data []byte) (int, error) {
	if _, err := w.ResponseWriter.Write(bytes.Replace(data, smallEvent, largeEvent, 1)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// Unwrap returns the writer that http.ResponseController flushes.
func (w largeEventWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against bodies that together exceed the VM's memory and are held as long as
// their connections live.
func TestEntryStalledChunkedBodies(t *testing.T) { check(t, stalledChunkedBodies, startEntry) }

// Guards against the same with bodies that arrive in very small pieces.
func TestEntryStalledSmallChunks(t *testing.T) { check(t, stalledSmallChunks, startEntry) }

// Guards against memory for the parts of a chunked body that aren't its data.
func TestEntryEndlessExtensions(t *testing.T) { check(t, endlessExtensions, startEntry) }

// Guards against memory reserved for an announced length.
func TestEntryAnnouncedLargeBodies(t *testing.T) { check(t, announcedLargeBodies, startEntry) }

// Guards against bodies that are held until they turn out to be over the limit.
func TestEntryUnannouncedLargeBodies(t *testing.T) { check(t, unannouncedLargeBodies, startEntry) }

// Guards against headers of many small lines, which take many times their size.
func TestEntryEndlessHeaders(t *testing.T) { check(t, endlessHeaders, startEntry) }

// Guards against slow bodies that use up the descriptors.
func TestEntrySlowBodies(t *testing.T) { check(t, slowBodies, startEntry) }

// Guards against writes to callers that read nothing, which block without a bound and
// hold two connections each.
func TestEntryUnreadStreams(t *testing.T) { check(t, unreadStreams, startEntry) }

// Guards against idle connections that use up the descriptors.
func TestEntrySilentConnections(t *testing.T) { check(t, silentConnections, startEntry) }

// Guards against answers that nobody reads, whose connections use up the descriptors.
func TestEntryUnreadPipelines(t *testing.T) { check(t, unreadPipelines, startEntry) }
