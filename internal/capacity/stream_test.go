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
	streamEvents = 2000
	streams      = 10
	streamKey    = "stream-key"
	settleBound  = 30 * time.Second
	idleTime     = 3 * time.Second
)

// measureStream streams an answer from the engine's stand-in, straight and
// through an entry VM. The difference is what the entry VM spends.
func measureStream(t *testing.T, c *CPU) {
	eng := httptest.NewServer(engine.New(engine.Options{VM: "m0", TokenTime: time.Nanosecond}))
	t.Cleanup(eng.Close)
	through := startEntryVM(t, strings.TrimPrefix(eng.URL, "http://"))
	deadline := time.Now().Add(settleBound)
	for stream(t, through) == 0 {
		assert.Assert(t, time.Now().Before(deadline), "the entry VM does not serve")
		time.Sleep(100 * time.Millisecond)
	}
	straight := cpuPer(streams, func() { stream(t, eng.URL) })
	via := cpuPer(streams, func() { assert.Assert(t, stream(t, through) >= streamEvents) })
	c.StreamEvent = max(0, via-straight) / streamEvents
	before := cpuTime()
	time.Sleep(idleTime)
	c.Idle = float64(cpuTime()-before) / float64(idleTime)
}

// stream reads a streamed answer and returns the number of its events, 0 if
// it was refused.
func stream(t *testing.T, url string) (events int) {
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

// startEntryVM starts one daemon before the engine and returns its URL.
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
	propose(t, tab, engineAddress, set.Listen.Peers)
	return "http://" + set.Listen.Callers
}

func propose(t *testing.T, tab *memtable.Table, engineAddress, peerAddress string) {
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
