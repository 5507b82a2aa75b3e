package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/standin/table"
)

const exampleInventory = "../../examples/inventory.toml"

// runResult is the exit code and output of one run of the command line.
type runResult struct {
	code     int
	out, err string
}

func runCommand(stdin string, args ...string) runResult {
	var out, err bytes.Buffer
	code := Run(context.Background(), args, Options{In: strings.NewReader(stdin), Out: &out, Err: &err, PollInterval: 10 * time.Millisecond})
	return runResult{code: code, out: out.String(), err: err.String()}
}

func startTable(t *testing.T) (*table.Server, string) {
	t.Helper()
	s := table.New(table.Options{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "inventory.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against operators who don't learn that an inventory refuses all callers.
func TestInventoryWithoutKeysIsPointedOut(t *testing.T) {
	_, url := startTable(t)
	raw, err := os.ReadFile(exampleInventory)
	assert.NilError(t, err)
	text, _, _ := strings.Cut(string(raw), "[[client_accounts]]")
	bare := writeFile(t, text)
	for _, args := range [][]string{{"validate"}, {"diff", "--platform", url}, {"apply", "--platform", url, "--dry-run"}} {
		const said = "no client account has a key"
		r := runCommand("", append(args, bare)...)
		assert.Equal(t, r.code, ExitOK, r.err)
		assert.Assert(t, strings.Contains(r.err, said), "%v: %s", args, r.err)
		r = runCommand("", append(args, exampleInventory)...)
		assert.Equal(t, r.code, ExitOK, r.err)
		assert.Assert(t, !strings.Contains(r.err, said), "%v: %s", args, r.err)
	}
}

func TestExitCodes(t *testing.T) {
	_, url := startTable(t)
	invalid := writeFile(t, "vm = 1\n")
	tests := []struct {
		name string
		args []string
		code int
		err  string
	}{
		{"valid file", []string{"validate", exampleInventory}, ExitOK, "is valid"},
		{"unknown command", []string{"serve"}, ExitUsage, "unknown command"},
		{"missing argument", []string{"apply"}, ExitUsage, "accepts 1 arg"},
		{"unknown flag", []string{"status", "--wide"}, ExitUsage, "unknown flag"},
		{"missing subcommand", []string{"stop"}, ExitUsage, "needs a subcommand"},
		{"missing file", []string{"validate", "none.toml"}, ExitUsage, "name a file that exists"},
		{"invalid file", []string{"apply", invalid, "--platform", url}, ExitUsage, invalid + ": vm: is not a known key"},
		{"unknown output", []string{"history", "--platform", url, "--output", "xml"}, ExitUsage, "use table or json"},
		{"platform unavailable", []string{"history", "--platform", "http://127.0.0.1:1"}, ExitFailed, "platform-unavailable"},
		{"no daemon", []string{"status", "--operators", "127.0.0.1:1"}, ExitFailed, "check --operators"},
		{"unknown VM", []string{"drain", "vm", "x", "--platform", url}, ExitFailed, "not in the configuration"},
		{"no daemon in build", []string{"demo", "--once"}, ExitFailed, "no daemon"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := runCommand("", tc.args...)
			assert.Equal(t, r.code, tc.code, r.err)
			assert.Assert(t, strings.Contains(r.err, tc.err), r.err)
			assert.Equal(t, r.out, "")
		})
	}
}

func TestEveryCommandHasExample(t *testing.T) {
	a := &app{}
	for _, cmd := range a.rootCommand().Commands() {
		assert.Assert(t, cmd.Example != "", cmd.Name())
		for _, sub := range cmd.Commands() {
			assert.Assert(t, sub.Example != "", sub.CommandPath())
		}
	}
}

func TestApplyDiffHistory(t *testing.T) {
	s, url := startTable(t)
	r := runCommand("", "apply", exampleInventory, "--platform", url, "--dry-run")
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.out, "+ data centre praha"), r.out)
	assert.Equal(t, s.Table().Counts().Writes, uint64(0))

	r = runCommand("", "apply", exampleInventory, "--platform", url, "--expect", "0", "--author", "anna")
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.out, "configuration 1 is accepted"), r.out)

	r = runCommand("", "apply", exampleInventory, "--platform", url, "--expect", "0")
	assert.Equal(t, r.code, ExitConflict, r.err)
	r = runCommand("", "apply", exampleInventory, "--platform", url)
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.out, "nothing to change"), r.out)

	r = runCommand("", "drain", "data-centre", "praha", "--platform", url, "--author", "ben")
	assert.Equal(t, r.code, ExitOK, r.err)
	r = runCommand("", "diff", exampleInventory, "--platform", url)
	assert.Equal(t, r.out, "~ data centre praha: out true -> false\n")

	r = runCommand("", "history", "--platform", url, "--output", "json")
	assert.Equal(t, r.code, ExitOK, r.err)
	var changes []struct {
		Number uint64
		Author string
	}
	assert.NilError(t, json.Unmarshal([]byte(r.out), &changes))
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Author, "ben")
}

func TestApplySucceedsAfterLostAnswer(t *testing.T) {
	s, url := startTable(t)
	s.Table().SetFaults(memtable.Faults{LoseAnswers: 1})
	r := runCommand("", "apply", exampleInventory, "--platform", url)
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.out, "configuration 1 is accepted"), r.out)
}

func TestHashKey(t *testing.T) {
	r := runCommand("test\n", "hash-key")
	assert.Equal(t, r.out, "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n")
	r = runCommand("", "hash-key", "--generate")
	key, hash, _ := strings.Cut(strings.TrimSpace(r.out), "\n")
	assert.Equal(t, hash, hashKey(key))
}

// fakeDaemon serves the operators' interface. Its status shows no groups, and
// thus no requests in flight, after readsUntilIdle reads.
type fakeDaemon struct {
	*httptest.Server
	status  operator.Status
	reads   atomic.Int64
	stopped atomic.Bool
}

func (d *fakeDaemon) address() string { return d.Listener.Addr().String() }

// startFakeDaemon starts a daemon that reports inFlight requests of its own at
// the only group.
func startFakeDaemon(t *testing.T, node string, inFlight int) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{status: operator.Status{
		Node: node, PlatformReachable: true,
		DataCentres: []operator.DataCentre{{
			Name: "praha", Coordinator: "praha-entry-1", Term: 3,
			Groups: []operator.Group{
				{Name: "g1", Model: "assistant", State: operator.GroupServing, Members: []string{"praha-a-1", "praha-a-2"}, InFlight: inFlight, Limit: 8},
			},
			Services: []operator.ServiceEndpoint{{VM: "praha-shop-1", Service: "glove-orders", Serving: true}},
		}},
	}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.StatusPath, func(w http.ResponseWriter, _ *http.Request) { d.serveStatus(w) })
	mux.HandleFunc("GET "+operator.ExplainVMPath+"{vm}", explainVM)
	mux.HandleFunc("POST "+operator.StopPath, func(w http.ResponseWriter, _ *http.Request) {
		d.stopped.Store(true)
		w.WriteHeader(http.StatusAccepted)
	})
	d.Server = httptest.NewServer(mux)
	t.Cleanup(d.Close)
	return d
}

func explainVM(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("vm") != "praha-a-3" {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"title":"not-found","detail":"no such VM","remedy":"look at pimentoshore status"}`))
		return
	}
	reasons := []operator.Reason{{Cause: "its fabric domain has no second free VM", Remedy: "add one"}}
	_ = json.NewEncoder(w).Encode(operator.VMExplanation{VM: "praha-a-3", Role: "model", DataCentre: "praha", ReportAge: -1, Reasons: reasons})
}

// startFakeDaemons starts the coordinator of praha and a node of brno that list
// each other, and returns both.
func startFakeDaemons(t *testing.T) (praha, brno *fakeDaemon) {
	t.Helper()
	praha, brno = startFakeDaemon(t, "praha-entry-1", 2), startFakeDaemon(t, "brno-entry-1", 1)
	praha.status.DataCentres[0].Unassigned = []operator.UnassignedVM{
		{VM: "praha-a-3", Accelerators: 8, Healthy: true, Reason: "no partner in its fabric domain"},
	}
	nodes := []operator.Node{
		{VM: "praha-entry-1", DataCentre: "praha", Operators: praha.address(), Configuration: 100},
		{VM: "brno-entry-1", DataCentre: "brno", Operators: brno.address(), Configuration: 100},
	}
	praha.status.Nodes, brno.status.Nodes = nodes, nodes
	return praha, brno
}

const readsUntilIdle = 2

func (d *fakeDaemon) serveStatus(w http.ResponseWriter) {
	if d.stopped.Load() {
		panic(http.ErrAbortHandler)
	}
	status := d.status
	if d.reads.Add(1) > readsUntilIdle {
		dc := status.DataCentres[0]
		dc.Groups = nil
		status.DataCentres = []operator.DataCentre{dc}
	}
	_ = json.NewEncoder(w).Encode(status)
}

func TestStatusMergesAllNodes(t *testing.T) {
	_, brno := startFakeDaemons(t)
	r := runCommand("", "status", "--operators", "127.0.0.1:1,"+brno.address())
	assert.Equal(t, r.code, ExitOK, r.err)
	for _, want := range []string{
		"praha: in, coordinator praha-entry-1, term 3, 1 of 1 groups serve, 8 accelerators stranded",
		"praha-a-1,praha-a-2  3/16", "no partner", "glove-orders",
	} {
		assert.Assert(t, strings.Contains(r.out, want), r.out)
	}
	assert.Equal(t, r.err, "")
}

func TestStatusNamesUnreachableNodes(t *testing.T) {
	praha, brno := startFakeDaemons(t)
	brno.Close()
	r := runCommand("", "status", "--output", "json", "--operators", praha.address())
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.err, "no status of its own from brno-entry-1"), r.err)
	var status operator.Status
	assert.NilError(t, json.Unmarshal([]byte(r.out), &status))
	assert.DeepEqual(t, status.Nodes, praha.status.Nodes)
}

func TestExplain(t *testing.T) {
	praha, _ := startFakeDaemons(t)
	r := runCommand("", "explain", "vm", "praha-a-3", "--operators", praha.address())
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Assert(t, strings.Contains(r.out, "it has not reported\n- its fabric domain has no second free VM; add one\n"), r.out)
	r = runCommand("", "explain", "vm", "x", "--operators", praha.address())
	assert.Equal(t, r.code, ExitFailed)
	assert.Assert(t, strings.Contains(r.err, "no such VM"), r.err)
}

func TestStopWaitsUntilAllNodesAreIdle(t *testing.T) {
	_, url := startTable(t)
	assert.Equal(t, runCommand("", "apply", exampleInventory, "--platform", url).code, ExitOK)
	for _, args := range [][]string{{"stop", "vm", "praha-a-1"}, {"stop", "group", "g1"}, {"drain", "vm", "praha-a-1", "--wait"}} {
		praha, brno := startFakeDaemons(t)
		r := runCommand("", append(args, "--platform", url, "--operators", praha.address())...)
		assert.Equal(t, r.code, ExitOK, r.err)
		assert.Assert(t, strings.Contains(r.err, "3 requests in flight") || args[1] == "group", r.err)
		assert.Assert(t, praha.reads.Load() > readsUntilIdle)
		assert.Assert(t, brno.reads.Load() > readsUntilIdle)
	}
	r := runCommand("", "stop", "vm", "praha-entry-1", "--platform", url)
	assert.Equal(t, r.code, ExitUsage)
}

func TestStopTimeoutNamesRemainingWork(t *testing.T) {
	tests := []struct {
		name string
		edit func(praha, brno *fakeDaemon)
		want string
	}{
		{"group stays", func(praha, brno *fakeDaemon) { praha.reads.Store(-1000); brno.reads.Store(-1000) }, "praha-a-1 is still in group g1"},
		{"other node has work", func(_, brno *fakeDaemon) { brno.reads.Store(-1000) }, "praha-a-1 is still in group g1"},
		{"other node is silent", func(_, brno *fakeDaemon) { brno.Close() }, "no status of its own from brno-entry-1"},
		{"other node is behind", func(_, brno *fakeDaemon) {
			brno.status.Nodes = []operator.Node{{VM: "brno-entry-1", DataCentre: "brno", Operators: brno.address()}}
		}, "1 of 2 nodes are behind"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, url := startTable(t)
			assert.Equal(t, runCommand("", "apply", exampleInventory, "--platform", url).code, ExitOK)
			praha, brno := startFakeDaemons(t)
			tc.edit(praha, brno)
			r := runCommand("", "stop", "vm", "praha-a-1", "--timeout", "500ms", "--platform", url, "--operators", praha.address())
			assert.Equal(t, r.code, ExitFailed)
			assert.Assert(t, strings.Contains(r.err, tc.want), r.err)
		})
	}
}

func TestStopEntryRefusesLastOfDataCentre(t *testing.T) {
	praha, brno := startFakeDaemons(t)
	r := runCommand("", "stop", "entry", "praha-entry-1", "--operators", brno.address())
	assert.Equal(t, r.code, ExitFailed)
	assert.Assert(t, strings.Contains(r.err, "last entry VM of praha"), r.err)
	r = runCommand("", "stop", "entry", "praha-entry-1", "--force", "--operators", brno.address())
	assert.Equal(t, r.code, ExitOK, r.err)
	assert.Equal(t, r.out, "praha-entry-1 has stopped\n")
	assert.Assert(t, praha.stopped.Load() && !brno.stopped.Load())
}

func TestStopEntryRequiresAddress(t *testing.T) {
	praha, _ := startFakeDaemons(t)
	praha.status.Nodes = []operator.Node{{VM: "praha-entry-1", DataCentre: "praha"}, {VM: "brno-entry-1", DataCentre: "brno"}}
	r := runCommand("", "stop", "entry", "brno-entry-1", "--force", "--operators", praha.address())
	assert.Equal(t, r.code, ExitFailed)
	assert.Assert(t, strings.Contains(r.err, "name it with --operators"), r.err)
	r = runCommand("", "stop", "entry", "praha-entry-1", "--force", "--operators", praha.address())
	assert.Equal(t, r.code, ExitOK, r.err)
}

func TestStandinStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	code := Run(ctx, []string{"standin", "engine", "--vm", "m1"}, Options{In: strings.NewReader(""), Out: &out, Err: &out})
	assert.Equal(t, code, ExitOK, out.String())
	assert.Assert(t, strings.HasPrefix(out.String(), "listening on 127.0.0.1:"), out.String())
}

func TestExamplesAreValid(t *testing.T) {
	_, err := settings.LoadInventory(exampleInventory)
	assert.NilError(t, err)
	_, err = settings.Load("../../examples/pimentoshored.toml")
	assert.NilError(t, err)
	workloads, err := filepath.Glob("../../examples/load-*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(workloads) > 0)
	for _, file := range workloads {
		assert.NilError(t, validateFile(fileKindLoad, file))
	}
}

func TestLogsFollowRequest(t *testing.T) {
	log := filepath.Join(t.TempDir(), "entry-0.log")
	text := `{"time":"2026-06-12T11:35:10Z","level":"INFO","msg":"attempt broke off","vm":"e-0","request":"r1","endpoint":"i-1"}
garbage
`
	assert.NilError(t, os.WriteFile(log, []byte(text), 0o600))
	other := `{"time":"2026-06-12T11:35:11.5Z","level":"WARN","msg":"request failed","vm":"e-1","request":"r1","status":502}`
	r := runCommand(other, "logs", "--request", "r1", log, "-")
	assert.Equal(t, r.code, 0, r.err)
	assert.Assert(t, strings.Contains(r.out, "0.000    e-0  INFO   attempt broke off  endpoint=i-1 request=r1"), r.out)
	assert.Assert(t, strings.Contains(r.out, "1.500    e-1  WARN   request failed     request=r1 status=502"), r.out)
	assert.Assert(t, strings.Contains(r.err, "skipped 1 lines"), r.err)

	r = runCommand("", "logs", "--request", "r2", log)
	assert.Assert(t, r.code != 0 && strings.Contains(r.err, "search the logs of all entry VMs"), r.err)
	r = runCommand("", "logs", log)
	assert.Equal(t, r.code, 2, r.err)
	r = runCommand("", "logs", "--request", "r1", filepath.Join(t.TempDir(), "none"))
	assert.Assert(t, r.code != 0 && strings.Contains(r.err, "name saved logs"), r.err)
}
