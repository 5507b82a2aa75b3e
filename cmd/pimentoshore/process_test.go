package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

const (
	accountKey   = "process-test-key"
	startTimeout = 40 * time.Second
	callTimeout  = 20 * time.Second
	// dataCentreCount is the number of data centres in a system.
	dataCentreCount = 2
	// leaseDuration is the lease duration in intervalSettings.
	leaseDuration = 3 * time.Second
	// intervalSettings shortens the daemons' intervals, so that they detect
	// failures sooner.
	intervalSettings = "[intervals]\nlease = \"3s\"\nprobe = \"200ms\"\nexchange = \"200ms\"\n"
)

// system is a set of processes on loopback addresses, started from the built
// commands.
type system struct {
	t        *testing.T
	bin, dir string
	platform string
	engines  map[string]string // addresses by VM
	shop     string
	daemons  map[string]*entryDaemon // by data centre, or by VM for additional daemons
}

// entryDaemon is an entry daemon and its listening addresses.
type entryDaemon struct {
	vm, dataCentre                   string
	cmd                              *exec.Cmd
	callers, peers, operatorsAddress string
}

// startSystem starts a table service, four engines, a service and one daemon in
// each of two data centres, besides the additional daemons, and applies their
// inventory.
func startSystem(t *testing.T, additional ...entryDaemon) *system {
	s := &system{t: t, bin: t.TempDir(), dir: t.TempDir(), engines: map[string]string{}, daemons: map[string]*entryDaemon{}}
	buildCommands(t, s.bin)
	s.platform = s.standin("platform")
	for _, vm := range []string{"praha-a-1", "praha-a-2", "brno-a-1", "brno-a-2"} {
		s.engines[vm] = s.standin("engine", "--vm", vm, "--load", "100ms", "--token", "2ms", "--max-in-flight", "8", "--cold-in-flight", "1")
	}
	s.shop = s.standin("service", "--vm", "brno-shop-1", "--max-in-flight", "8", "--cold-in-flight", "1")
	for _, dc := range []string{"praha", "brno"} {
		s.addDaemon(dc, entryDaemon{vm: dc + "-entry-1", dataCentre: dc})
	}
	for _, d := range additional {
		s.addDaemon(d.vm, d)
	}
	s.write("inventory.toml", s.inventory())
	code, text := s.run("apply", filepath.Join(s.dir, "inventory.toml"), "--platform", "http://"+s.platform)
	assert.Equal(t, code, 0, text)
	for dc := range s.daemons {
		s.startDaemon(dc)
	}
	return s
}

func (s *system) addDaemon(name string, d entryDaemon) {
	d.callers, d.peers, d.operatorsAddress = freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	s.daemons[name] = &d
}

func buildCommands(t *testing.T, bin string) {
	t.Helper()
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", bin+"/", "../...").CombinedOutput()
	assert.NilError(t, err, string(out))
}

// start starts a process that ends with the test.
func (s *system) start(name string, args ...string) (*exec.Cmd, io.Reader) {
	cmd := exec.Command(filepath.Join(s.bin, name), args...)
	out, err := cmd.StdoutPipe()
	assert.NilError(s.t, err)
	var log bytes.Buffer
	cmd.Stderr = &log
	assert.NilError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", cmd, log.String())
		}
	})
	return cmd, out
}

// standin starts a stand-in and returns its address.
func (s *system) standin(args ...string) string {
	_, out := s.start("pimentoshore", append([]string{"standin"}, args...)...)
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(s.t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	assert.Assert(s.t, ok, line)
	return address
}

// run runs the pimentoshore command and returns its exit code and its combined
// output.
func (s *system) run(args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(s.bin, "pimentoshore"), args...)
	var text bytes.Buffer
	cmd.Stdout, cmd.Stderr = &text, &text
	_ = cmd.Run()
	return cmd.ProcessState.ExitCode(), text.String()
}

func (s *system) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// lastHost is the number of the last loopback host used by freeAddress.
var lastHost atomic.Uint32

// freeAddress returns an address on a loopback host that is not used by anything
// else. A free port of 127.0.0.1 could be taken by an outgoing connection before
// the daemon listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	host := lastHost.Add(1)
	pid := uint32(os.Getpid())
	address := fmt.Sprintf("127.%d.%d.%d:7000", 1+pid%250, 1+pid/250%250, host)
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer l.Close()
	return address
}

func (s *system) inventory() string {
	var b strings.Builder
	for name, d := range s.daemons {
		if name == d.dataCentre {
			fmt.Fprintf(&b, "[[data_centres]]\nname = %q\n", name)
		}
		fmt.Fprintf(&b, "[[vms]]\nname = %q\ndata_centre = %q\nrole = \"entry\"\naddress = %q\n", d.vm, d.dataCentre, d.peers)
	}
	for vm, address := range s.engines {
		dc, _, _ := strings.Cut(vm, "-")
		fmt.Fprintf(&b, "[[vms]]\nname = %q\ndata_centre = %q\nfabric_domain = %q\nrole = \"model\"\naddress = %q\naccelerators = 1\n", vm, dc, dc+"-a", address)
	}
	fmt.Fprintf(&b, "[[vms]]\nname = \"brno-shop-1\"\ndata_centre = \"brno\"\nrole = \"service\"\nservice = \"glove-orders\"\naddress = %q\n", s.shop)
	b.WriteString("[[models]]\nname = \"assistant\"\ngroup_size = 2\nmax_in_flight = 8\ncold_in_flight = 1\n")
	b.WriteString("[[services]]\nname = \"glove-orders\"\nmax_in_flight = 8\ncold_in_flight = 1\n")
	cmd := exec.Command(filepath.Join(s.bin, "pimentoshore"), "hash-key")
	cmd.Stdin = strings.NewReader(accountKey + "\n")
	hash, err := cmd.Output()
	assert.NilError(s.t, err)
	fmt.Fprintf(&b, "[[client_accounts]]\nname = \"archive\"\nkey_hashes = [%q]\nmax_in_flight = 16\n", strings.TrimSpace(string(hash)))
	return b.String()
}

func (s *system) startDaemon(dc string) {
	d := s.daemons[dc]
	text := fmt.Sprintf("vm = %q\ndata_centre = %q\n[listen]\ncallers = %q\npeers = %q\noperators = %q\n[platform]\nurls = [%q]\n",
		d.vm, d.dataCentre, d.callers, d.peers, d.operatorsAddress, "http://"+s.platform)
	text += intervalSettings
	for _, peer := range s.daemons {
		if peer.vm != d.vm {
			text += fmt.Sprintf("[[peers]]\nvm = %q\ndata_centre = %q\naddress = %q\n", peer.vm, peer.dataCentre, peer.peers)
		}
	}
	d.cmd, _ = s.start("pimentoshored", "--settings", s.write(dc+".toml", text))
}

func (s *system) operatorsAddresses() string {
	var addresses []string
	for _, d := range s.daemons {
		addresses = append(addresses, d.operatorsAddress)
	}
	return strings.Join(addresses, ",")
}

// waitForGroups waits until the status command shows a serving group in both data
// centres and a serving endpoint of the service.
func (s *system) waitForGroups() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		code, out := s.run("status", "--output", "json", "--operators", s.operatorsAddresses())
		var status operator.Status
		if code != 0 || json.Unmarshal([]byte(out), &status) != nil || len(status.DataCentres) != dataCentreCount {
			return poll.Continue("status: %s", out)
		}
		services := 0
		for _, dc := range status.DataCentres {
			if len(dc.Groups) != 1 || (dc.Groups[0].State != operator.GroupServing && dc.Groups[0].State != operator.GroupWarming) || dc.Groups[0].Limit == 0 {
				return poll.Continue("%s: %+v", dc.Name, dc.Groups)
			}
			for _, e := range dc.Services {
				if e.Serving {
					services++
				}
			}
		}
		if services != 1 {
			return poll.Continue("the service is not serving")
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(200*time.Millisecond))
}

// response is the response to a call.
type response struct {
	status int
	header http.Header
	body   string
}

// call sends a request to a daemon and retries it for up to callTimeout while
// the daemon refuses it without running it.
func (s *system) call(dc, path, key, idempotency, body string) response {
	deadline := time.Now().Add(callTimeout)
	for {
		resp := s.callOnce(dc, path, key, idempotency, body)
		if resp.status != http.StatusServiceUnavailable || !strings.Contains(resp.body, `"ran":"no"`) || time.Now().After(deadline) {
			return resp
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *system) callOnce(dc, path, key, idempotency, body string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[dc].callers+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set(service.HeaderIdempotencyKey, idempotency)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw)}
}

const chatBody = `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"which gloves?"}]}`

// checkChat sends a streamed chat completion and checks its complete text.
func (s *system) checkChat(dc string) response {
	a := s.call(dc, "/v1/chat/completions", accountKey, "", chatBody)
	assert.Equal(s.t, a.status, http.StatusOK, a.body)
	text, done := "", false
	for line := range strings.Lines(a.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			var chunk engine.Answer
			assert.NilError(s.t, json.Unmarshal([]byte(data), &chunk), data)
			assert.Assert(s.t, len(chunk.Choices) == 1 && chunk.Choices[0].Delta != nil, data)
			text += chunk.Choices[0].Delta.Content
		}
	}
	assert.Assert(s.t, done, a.body)
	assert.Equal(s.t, text, engine.ExpectedChatText([]engine.Message{{Role: "user", Content: "which gloves?"}}, 0))
	return a
}

func getJSON(t *testing.T, url string, dst any) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(dst))
}

// countRuns returns the number of requests that the engines of a data centre ran,
// and checks that none was overloaded.
func (s *system) countRuns(dc string) uint64 {
	var runs uint64
	for vm, address := range s.engines {
		if strings.HasPrefix(vm, dc) {
			var counts engine.Counts
			getJSON(s.t, "http://"+address+engine.CountsPath, &counts)
			runs += counts.Runs
			assert.Equal(s.t, counts.Overloads, uint64(0), vm)
		}
	}
	return runs
}

func TestSeparateProcesses(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.waitForGroups()

	a := s.checkChat("praha")
	assert.Assert(t, strings.HasPrefix(a.header.Get("Pimentoshore-Hops"), "praha-entry-1>"), "%v", a.header)
	assert.Assert(t, a.header.Get("Traceparent") != "")
	s.checkOrderRunsOnce()

	wrongKey := s.call("praha", "/v1/chat/completions", "another-key", "", chatBody)
	assert.Equal(t, wrongKey.status, http.StatusUnauthorized)
	assert.Assert(t, strings.Contains(wrongKey.body, `"ran":"no"`), wrongKey.body)

	code, out := s.run("drain", "data-centre", "praha", "--wait", "--platform", "http://"+s.platform, "--operators", s.operatorsAddresses())
	assert.Equal(t, code, 0, out)
	before := s.countRuns("praha")
	s.checkChat("praha")
	assert.Equal(t, s.countRuns("praha"), before)

	for dc, d := range s.daemons {
		assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
		assert.NilError(t, d.cmd.Wait(), dc)
	}
}

// checkOrderRunsOnce sends the same order through both data centres and checks
// that both calls return the same receipt and that the order ran once.
func (s *system) checkOrderRunsOnce() {
	const body = `{"order_id":"o1","item":"cotton gloves","quantity":3}`
	first := s.call("praha", "/services/glove-orders/orders", accountKey, "key-1", body)
	assert.Equal(s.t, first.status, http.StatusOK, first.body)
	again := s.call("brno", "/services/glove-orders/orders", accountKey, "key-1", body)
	assert.Equal(s.t, again.status, http.StatusOK, again.body)
	assert.Equal(s.t, again.body, first.body)
	var runs service.Runs
	getJSON(s.t, "http://"+s.shop+service.RunsPath, &runs)
	assert.Equal(s.t, runs.Total, 1)
}

func TestDaemonRefusesWrongSettings(t *testing.T) {
	t.Parallel()
	s := &system{t: t, bin: t.TempDir(), dir: t.TempDir()}
	buildCommands(t, s.bin)
	path := s.write("daemon.toml", "vms = 1\n[intervals]\nprobe = 3\n")
	cmd := exec.Command(filepath.Join(s.bin, "pimentoshored"), "--settings", path)
	text, _ := cmd.CombinedOutput()
	assert.Equal(t, cmd.ProcessState.ExitCode(), 2, string(text))
	for _, want := range []string{"vms: is not a known key", "intervals.probe", "platform.urls"} {
		assert.Assert(t, strings.Contains(string(text), path+": ") && strings.Contains(string(text), want), string(text))
	}
}
