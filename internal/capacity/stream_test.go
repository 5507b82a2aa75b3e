package capacity

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/daemon"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
)

const (
	streamEvents  = 2000
	streamCount   = 10
	streamKey     = "stream-key"
	settleTimeout = 30 * time.Second
	idleTime      = 3 * time.Second
)

// measureStream streams answers from a stand-in engine, directly and through an
// entry VM. The difference in processor time is the cost of the entry VM. It
// then measures the processor time of the idle entry VM.
func measureStream(t *testing.T, c *CPU) {
	eng := httptest.NewServer(engine.New(engine.Options{VM: "m0", TokenTime: time.Nanosecond}))
	t.Cleanup(eng.Close)
	entryURL := startEntryVM(t, strings.TrimPrefix(eng.URL, "http://"))
	deadline := time.Now().Add(settleTimeout)
	for readStream(t, entryURL) == 0 {
		assert.Assert(t, time.Now().Before(deadline), "the entry VM does not serve requests")
		time.Sleep(100 * time.Millisecond)
	}
	direct := cpuPer(streamCount, func() { readStream(t, eng.URL) })
	relayed := cpuPer(streamCount, func() { assert.Assert(t, readStream(t, entryURL) >= streamEvents) })
	c.StreamEvent = max(0, relayed-direct) / streamEvents
	before := cpuTime()
	time.Sleep(idleTime)
	c.Idle = float64(cpuTime()-before) / float64(idleTime)
}

// readStream reads a streamed answer and returns the number of its events, or 0
// if the request was refused.
func readStream(t *testing.T, url string) (events int) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"vellum","stream":true,"max_tokens":%d}`, model, streamEvents)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+streamKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return events
}

// startEntryVM starts a daemon that serves the engine, and returns its URL for
// callers.
func startEntryVM(t *testing.T, engineAddress string) string {
	t.Helper()
	l, err := daemon.Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	assert.NilError(t, err)
	set := settings.Default()
	set.VM, set.DataCentre = "e0", "praha"
	set.Listen = settings.Listen{Callers: l.Callers.Addr().String(), Peers: l.Peers.Addr().String(), Operators: l.Operators.Addr().String()}
	set.Intervals.StopGrace = time.Second
	tab := memtable.New(memtable.Options{})
	n := daemon.New(daemon.Options{
		Settings: set, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: metrics.NewRegistry(),
		Tracer: noop.NewTracerProvider().Tracer(""), Platform: tab,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx, l) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	storeConfiguration(t, tab, engineAddress, set.Listen.Peers)
	return "http://" + set.Listen.Callers
}

// storeConfiguration stores a configuration with one entry VM and the engine.
func storeConfiguration(t *testing.T, tab *memtable.Table, engineAddress, peerAddress string) {
	t.Helper()
	hash := sha256.Sum256([]byte(streamKey))
	doc := inventory.Document{
		DataCentres: []inventory.DataCentre{{Name: "praha", Region: "cz"}},
		VMs: []inventory.VM{
			{Name: "e0", DataCentre: "praha", Role: inventory.RoleEntry, Address: peerAddress},
			{Name: "m0", DataCentre: "praha", FabricDomain: "f", Role: inventory.RoleModel, Address: engineAddress, ChecksFencing: true, Accelerators: 1},
		},
		Models:         []inventory.Model{{Name: model, GroupSize: 1, MaxInFlight: 8, ColdInFlight: 4}},
		ClientAccounts: []inventory.ClientAccount{{Name: "archive", MaxInFlight: 8, KeyHashes: []string{hex.EncodeToString(hash[:])}}},
	}
	tab.SetVMs([]platform.VMStatus{{Name: "e0"}, {Name: "m0"}})
	store := configstore.New(tab)
	base, err := store.Read(context.Background())
	assert.NilError(t, err)
	_, err = store.Propose(context.Background(), base, config.Normalize(doc), "test")
	assert.NilError(t, err)
}
