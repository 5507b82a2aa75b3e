package review

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// daemon is the program of the deploy file, relative to the repository.
const daemon = "target/pimentoshored"

// world is a small deployment on loopback: the platform's store and entry VMs.
type world struct {
	store   *cloud.Store
	dir     string
	trouble bool
	nodes   []*node
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// newWorld starts a store and opens the record.
func newWorld(recordPath string) (*world, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		store: cloud.NewStore(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(),
		record: bufio.NewWriter(file), file: file,
	}
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.record.Flush()
}

// close ends all processes that were started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
	w.file.Close()
}

// closeOnSignal ends all processes and the case if this process is told to end.
func (w *world) closeOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-ended
	w.note("result: cannot run: told to end")
	w.close()
	os.Exit(2)
}

// node is an entry VM.
type node struct {
	w                    *world
	name, callers, ready string
	settings, logPath    string
	memoryMB             int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addNode writes the settings of an entry VM as the deploy file's template renders
// them for Glove Supply Desk. Each VM has an address of its own. storeAddress is
// that of the store, or of a proxy before it.
func (w *world) addNode(zone string, memoryMB int64, storeAddress string) (*node, error) {
	ip := fmt.Sprintf("127.3.%d.%d", os.Getpid()%250+1, len(w.nodes)+1)
	var listen [4]string
	for i := range listen {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listen[i] = l.Addr().String()
		defer l.Close()
	}
	n := &node{w: w, name: fmt.Sprintf("front-%s-%d", zone, len(w.nodes)+1), callers: listen[0], ready: listen[1], memoryMB: memoryMB}
	n.settings = filepath.Join(w.dir, n.name+".toml")
	n.logPath = filepath.Join(w.dir, n.name+".log")
	text := fmt.Sprintf(`vm = %q
data_centre = %q
store = %q

[listen]
callers = %q
ready = %q
metrics = %q
peers = %q

[memory]
limit_mb = %d

[bounds]
keys_valid = "5000ms"
drain_within = "2000ms"
stop_grace = "8s"
group_stall = "5000ms"
repeat_ratio = 0.2
repeat_slack = 136
repeat_window = "10s"
cold_overage = 1.5
cold_slack = 5
load_window = "5s"
`, n.name, zone, storeAddress, listen[0], listen[1], listen[2], listen[3], memoryMB)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, nil
}

// start starts the VM's process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(daemon, "entry", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the tests look at what the process did, not at its status
		n.w.note("process of %s ended: %v", n.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the VM's process.
func (n *node) signal(sig os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig) // it may have ended
	}
}

// kill ends the VM's process, if it runs, and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-exited
}

// memory returns the resident memory of the VM's process and its peak, in MB.
func (n *node) memory() (now, peak int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0, 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(fields[1], 10, 64) // other lines have no number
		switch fields[0] {
		case "VmRSS:":
			now = kb >> 10
		case "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}

// startAll starts all entry VMs and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.await("all entry VMs are ready", 20*time.Second, func() bool {
		for _, n := range w.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// isReady asks the VM whether it takes callers.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (w *world) await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			w.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("waited %v in vain: %s", limit, what)
}

// object is a JSON object.
type object = map[string]any

// route returns a route of the configuration.
func route(prefix, kind, service string, more object) object {
	r := object{
		"name": strings.Trim(prefix, "/"), "host": "gloves.example", "prefix": prefix, "kind": kind, "service": service,
		"attempts": 1, "timeout-ms": 5000, "slo-ms": 100, "priority": 1,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}
