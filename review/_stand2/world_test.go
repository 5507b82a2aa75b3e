package review

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// world is a small deployment on loopback: the stand-in of the platform's store, plain
// services, and entry nodes as processes of their own.
type world struct {
	daemon, dir string
	record      *os.File
	start       time.Time
	store       *cloud.Store
	nodes       []*node

	// tenants are the tenants of the next configuration.
	tenants []any

	mu      sync.Mutex
	version int
}

// node is a process of the system.
type node struct {
	name           string
	callers, ready string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func newWorld(daemon, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	tenants := []any{map[string]any{"name": "tenant-1", "api-keys": []string{"key-1"}}}
	return &world{daemon: daemon, dir: dir, record: f, start: time.Now(), store: cloud.NewStore(), tenants: tenants}, nil
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started, and the store.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.store.Server.CloseClientConnections()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// freeAddresses returns n free addresses of one loopback IP address.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// settings is rendered like deploy/settings.toml.tmpl with the bounds of a small
// deployment.
const settings = `vm = %q
data_centre = %q
store = %q
[listen]
callers = %q
ready = %q
peers = %q
[memory]
limit_mb = 544
[limits]
open_files = 8200
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
`

// addNode starts a node.
func (w *world) addNode(zone string) error {
	i := len(w.nodes)
	ip := fmt.Sprintf("127.3.%d.%d", os.Getpid()%250+1, i+1)
	free, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: free[0], ready: free[1]}
	file := filepath.Join(w.dir, n.name+".toml")
	text := fmt.Sprintf(settings, n.name, zone, w.store.Address(), free[0], free[1], free[2])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(w.daemon, "entry", "--settings", file)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	w.nodes = append(w.nodes, n)
	w.logf("node %s started", n.name)
	return nil
}

func (n *node) kill() {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.exited
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		for {
			resp, err := client.Get("http://" + n.ready + "/readyz")
			if err == nil {
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// server is a plain server that registers itself under its ID.
type server struct {
	id      string
	store   *cloud.Store
	row     map[string]any
	service *http.Server
	mu      sync.Mutex
	runs    int
}

// addServer starts a server and registers it.
func (w *world) addServer(id, service, zone string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, store: w.store}
	s.row = map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
		"cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
	s.service = &http.Server{Handler: s}
	go func() { _ = s.service.Serve(l) }()
	return s, s.register()
}

// register writes the server's entry.
func (s *server) register() error { return s.store.Put("servers", s.id, s.row) }

// ran returns the number of requests that the server has run.
func (s *server) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Pimentoshore-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Pimentoshore-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Pimentoshore-Attempt-Id", r.Header.Get("Pimentoshore-Attempt-Id"))
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+s.id)
	fmt.Fprintln(w, "answer of "+s.id)
}

// route is a route of the configuration.
type route struct{ prefix, kind, service string }

// configure publishes the next version of the configuration.
func (w *world) configure(services []string, routes []route) error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": "r" + r.prefix, "host": "h.example", "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout-ms": 1500, "slo-ms": 100, "priority": 1, "attempts": 2, "public": false,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "max-conns": 110, "health-path": "/healthz"})
	}
	return w.store.Put("op", "config", map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": w.tenants,
	})
}

// send sends a request to a node and returns the status, 0 for none.
func (w *world) send(client *http.Client, n *node, method, path, id string) int {
	return w.sendWithKey(client, n, method, path, id, "key-1")
}

// sendWithKey sends a request with a key.
func (w *world) sendWithKey(client *http.Client, n *node, method, path, id, key string) int {
	req, err := http.NewRequest(method, "http://"+n.callers+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Pimentoshore-Attempt-Id", id)
	req.Header.Set("Pimentoshore-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		w.logf("%s %s %s to %s: no answer", id, method, path, n.name)
		return 0
	}
	resp.Body.Close()
	w.logf("%s %s %s to %s: %d", id, method, path, n.name, resp.StatusCode)
	return resp.StatusCode
}
