package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// deadlyPart is the part of a prompt that ends each endpoint which begins to
// answer it.
const deadlyPart = "dead"

// crashSite has entry VMs that poll the first one, in front of groups of one VM
// that end under deadlyPart and are back after a while.
type crashSite struct {
	t       *testing.T
	network *pipes
	total   int // number of entry VMs
	// skewed makes every other request go to the second entry VM.
	skewed  bool
	nodes   []*crashNode
	engines *crashEngines

	mu      sync.Mutex
	version uint64
	started int
	running map[string]*httptest.Server // by VM
	// ends are the times at which endpoints ended under the deadly part, and
	// deadly the requests with it that reached endpoints.
	ends   []time.Time
	deadly []deadlySend
	// limits are the requests a second that endpoints name in their answers, and
	// arrivals the requests that reached each endpoint.
	limits   map[string]float64
	arrivals map[string][]arrival
	// rows are what the platform keeps of quarantined parts.
	rows map[quarantine.Part]quarantine.Row
	// silentUntil is when endpoints that answer nothing go on, by VM.
	silentUntil map[string]time.Time
}

// arrival is a request that reached an endpoint. passed is the entry VM that sent
// it, and told when that had first passed on an answer with the endpoint's limit,
// or zero.
type arrival struct {
	at, told time.Time
}

// deadlySend is a request with the deadly part that reached an endpoint.
type deadlySend struct {
	at     time.Time
	passed *crashNode // the entry VM that sent it
}

// crashNode is one entry VM.
type crashNode struct {
	name      string
	state     *State
	prober    *Prober
	front     *httptest.Server
	mark      int64
	startedAt time.Time
	// cut is whether it is cut off from the others, but not from the platform.
	cut atomic.Bool
	// told is when it first passed on an answer with the limit of an endpoint.
	told map[string]time.Time
}

// crashEngines reports that the running endpoints serve, and refuses probes of the
// others.
type crashEngines struct{ site *crashSite }

// Warmth implements Engines.
func (e *crashEngines) Warmth(context.Context, dispatch.WarmthQuestion) (fleet.Warmth, error) {
	return fleet.Warmth{}, nil
}

// Report implements Engines.
func (e *crashEngines) Report(ctx context.Context, address, id string) (fleet.Report, error) {
	conn, err := e.site.network.dial(ctx, address)
	if err != nil {
		return fleet.Report{}, &upstream.NotSentError{Address: address, Err: err}
	}
	conn.Close()
	if err := e.site.waitWhileSilent(ctx, id); err != nil {
		return fleet.Report{}, err
	}
	return fleet.Report{State: openGroup(id)}, nil
}

func openGroup(id string) fleet.State {
	return fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{Group: "g-" + id, Epoch: 1, Stage: fleet.Open}}
}

const (
	crashSlots     = 16
	crashFirst     = 80 * time.Millisecond // from a request to the first event
	crashPause     = 40 * time.Millisecond // between events
	crashEvents    = 20
	crashBackAfter = 3 * time.Second
)

func newCrashSite(t *testing.T, nodes, endpoints int) *crashSite {
	s := &crashSite{t: t, network: newPipes(), total: nodes, running: make(map[string]*httptest.Server), rows: make(map[quarantine.Part]quarantine.Row),
		limits: make(map[string]float64), arrivals: make(map[string][]arrival), silentUntil: make(map[string]time.Time)}
	s.engines = &crashEngines{s}
	for i := range nodes {
		s.nodes = append(s.nodes, s.startNode(i))
	}
	for range endpoints {
		s.startEndpoint()
	}
	return s
}

// startNode starts the entry VM with the given index. It knows the configuration
// and the endpoints that run.
func (s *crashSite) startNode(i int) *crashNode {
	n := &crashNode{name: fmt.Sprint("node-", i), startedAt: time.Now(), told: make(map[string]time.Time)}
	n.state = NewState(discardLogger(), time.Now, dispatch.Options{
		DataCentre: "dc", ColdOverage: 1.5, ColdSlack: 5, RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second,
	})
	n.prober = NewProber(ProbeOptions{
		HeadEvery: 800 * time.Millisecond, RelayedHeadEvery: 1600 * time.Millisecond, FastEvery: 80 * time.Millisecond, VerifyEvery: 300 * time.Millisecond,
		VerifyPerSecond: 150, Timeout: 200 * time.Millisecond, StalledAfter: 500 * time.Millisecond, StalledFirst: time.Second,
		SilentAfter: 1200 * time.Millisecond, FirstAfter: 2500 * time.Millisecond, Metrics: metrics.NewRegistry(),
	}, n.state, s.engines)
	service := catalog.Service{Name: "llm", Engine: &catalog.Engine{Slots: crashSlots, Models: []catalog.Model{{Name: "m", GroupSize: 1, Share: 1}}}}
	route := catalog.Route{
		Name: "ask", Host: "h", Prefix: "/ask/", Kind: catalog.Stream, Resumable: true, Public: true,
		Backends: []catalog.Backend{{Service: "llm"}}, MaxAttempts: 2, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
	}
	n.state.Operators(time.Now(), updates.Operators{Version: 1, Whole: true, Catalog: catalog.New(1, []catalog.Route{route}, []catalog.Service{service}, catalog.Accounts{}, catalog.Limits{})})
	server := NewServer(Options{
		KeysValidFor: time.Hour, UnknownAfter: time.Hour, Log: discardLogger(), Metrics: metrics.NewRegistry(), Now: time.Now,
	}, testProtocol, n.state, upstream.New(s.network.dial), make(chan struct{}))
	n.front = serve(s.t, s.network, server)
	n.state.Locked(func(st LockedState) { st.Targets.SetNodes(st.Now, s.total, i) })
	n.state.VMs(time.Now(), updates.VMs{Version: s.version, Whole: true, Rows: s.listed()})
	return n
}

// listed returns the rows of the endpoints that run.
func (s *crashSite) listed() []fleet.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []fleet.Row
	for id, server := range s.running {
		rows = append(rows, crashRow(id, server))
	}
	return rows
}

func crashRow(id string, server *httptest.Server) fleet.Row {
	return fleet.Row{
		ID: id, Service: "llm", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "dc", Slots: crashSlots, Engine: true, State: openGroup(id),
	}
}

// startEndpoint starts an endpoint and lists it at all entry VMs.
func (s *crashSite) startEndpoint() {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("vm-%03d", s.started)
	s.mu.Unlock()
	server := serve(s.t, s.network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(id, w, r) }))
	s.mu.Lock()
	s.running[id] = server
	s.mu.Unlock()
	s.publish(crashRow(id, server), "")
}

// publish lists a VM at all entry VMs, or removes one.
func (s *crashSite) publish(row fleet.Row, removed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	u := updates.VMs{Version: s.version}
	if removed != "" {
		u.Removed = []string{removed}
	} else {
		u.Rows = []fleet.Row{row}
	}
	for _, n := range s.nodes {
		n.state.VMs(time.Now(), u)
	}
}

// deadlyBody is the body of a request that ends each endpoint which begins to answer
// it.
const deadlyBody = "the deadly request"

// answer streams events, or ends the endpoint if the prompt has the deadly part or
// the request is deadly.
func (s *crashSite) answer(id string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // the whole body is there, or the request is not deadly
	deadly := strings.Contains(r.Header.Get("X-Parts"), deadlyPart) || string(body) == deadlyBody
	if deadly {
		s.mu.Lock()
		s.deadly = append(s.deadly, deadlySend{time.Now(), s.nodeNamed(r.Header.Get("X-Node"))})
		s.mu.Unlock()
	}
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Seal", "seal-of-"+id)
	s.countArrival(id, w, r)
	out := http.NewResponseController(w)
	_ = out.Flush()
	time.Sleep(crashFirst)
	if deadly {
		s.crash(id, true)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is absent
	for i := from + 1; i <= crashEvents; i++ {
		if s.waitWhileSilent(r.Context(), id) != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i)
		if out.Flush() != nil {
			return
		}
		time.Sleep(crashPause)
	}
}

// nodeNamed returns the entry VM with a name. s.mu must be held.
func (s *crashSite) nodeNamed(name string) *crashNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// node returns the entry VM with the given index, modulo their number.
func (s *crashSite) node(i int) *crashNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i%len(s.nodes)]
}

func (s *crashSite) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

// restart replaces an entry VM by one that knows nothing of before.
func (s *crashSite) restart(i int) {
	n := s.startNode(i)
	s.mu.Lock()
	old := s.nodes[i]
	s.nodes[i] = n
	s.mu.Unlock()
	old.front.CloseClientConnections()
	old.front.Listener.Close()
}

// late returns the number of deadly requests that reached endpoints later than
// contact after the fifth end, from entry VMs in touch.
func (s *crashSite) late() int { return s.lateAfter(5) }

// lateAfter is late for the end with the given number.
func (s *crashSite) lateAfter(n int) int {
	late := 0
	for _, d := range s.deadly {
		if len(s.ends) >= n && d.at.After(s.ends[n-1].Add(contact)) && d.at.Sub(d.passed.startedAt) >= contact {
			late++
		}
	}
	return late
}

// crash ends an endpoint at once. It is removed from the list later, and another
// one starts.
func (s *crashSite) crash(id string, counts bool) {
	s.mu.Lock()
	server := s.running[id]
	delete(s.running, id)
	if server != nil && counts {
		s.ends = append(s.ends, time.Now())
	}
	s.mu.Unlock()
	if server == nil {
		panic(http.ErrAbortHandler)
	}
	server.Listener.Close()
	server.CloseClientConnections()
	time.AfterFunc(crashBackAfter, func() {
		s.publish(fleet.Row{}, id)
		s.startEndpoint()
	})
	if counts {
		panic(http.ErrAbortHandler)
	}
}

// crashRunning ends n running endpoints at the same moment.
func (s *crashSite) crashRunning(n int) {
	s.mu.Lock()
	var ids []string
	for id := range s.running {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids[:min(n, len(ids))] {
		s.crash(id, false)
	}
}

// run lets the entry VMs tick and poll the first of them until the context ends.
func (s *crashSite) run(ctx context.Context) {
	const tick, poll = 50 * time.Millisecond, 4 // polls every 4 ticks
	nodes := s.size()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(tick)
		for j := range nodes {
			n := s.node(j)
			n.prober.Tick(ctx, n.state.Tick())
			switch {
			case i%poll != j%poll:
			case j == 0 || n.cut.Load():
				s.syncRows(n)
			default:
				n.poll(s.node(0))
			}
		}
	}
}

// syncRows reads the quarantined parts from the platform and writes those that it
// lacks, as a node that reads there does.
func (s *crashSite) syncRows(n *crashNode) {
	s.mu.Lock()
	u := updates.Quarantine{Version: 1, Whole: true, Rows: slices.Collect(maps.Values(s.rows))}
	s.mu.Unlock()
	n.state.Quarantine(u)
	rows, removed := n.state.unsavedQuarantine()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.rows[row.Part] = row
	}
	for _, p := range removed {
		delete(s.rows, p)
	}
}

// poll asks another entry VM for updates.
func (n *crashNode) poll(from *crashNode) {
	after := n.state.Position()
	after.Mark, after.VM = n.mark, n.name
	a := from.state.Answer(after)
	a.Process = fmt.Sprint(from.name, from.startedAt)
	n.mark = a.Mark
	n.state.ApplyAnswer(time.Now(), true, a)
}

// outcomes counts the responses to requests by status; 0 counts broken streams.
type outcomes struct {
	mu sync.Mutex
	by map[int]int
}

func (o *outcomes) add(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.by == nil {
		o.by = make(map[int]int)
	}
	o.by[status]++
}

func (o *outcomes) total() int {
	n := 0
	for _, count := range o.by {
		n += count
	}
	return n
}

// send sends different requests with the given parts, each followed by a part of its
// own, to the entry VMs in turn. It returns once all are answered.
func (s *crashSite) send(rate int, d time.Duration, parts func(i int) string) *outcomes {
	return s.sendBodies(rate, d, parts, func(i int) string { return fmt.Sprint("request ", i, " of ", time.Now()) })
}

// sendBodies is send for requests with the given bodies.
func (s *crashSite) sendBodies(rate int, d time.Duration, parts, body func(i int) string) *outcomes {
	out := &outcomes{}
	client := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return s.network.dial(ctx, address) }}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(rate)) {
		time.Sleep(time.Second / time.Duration(rate))
		n := s.node(i)
		if s.skewed && i%2 == 0 {
			n = s.node(1)
		}
		req, err := http.NewRequest(http.MethodPost, n.front.URL+"/ask/", strings.NewReader(body(i)))
		assert.NilError(s.t, err)
		id := fmt.Sprintf("%s-%d-%d", parts(i), time.Now().UnixNano(), i)
		req.Host = "h"
		req.Header.Set("X-Id", id)
		req.Header.Set("X-Node", n.name)
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Parts", parts(i)+fmt.Sprintf(",%x:200", 1<<32+i))
		wg.Go(func() { out.add(s.roundTrip(client, req)) })
	}
	wg.Wait()
	return out
}

func (s *crashSite) roundTrip(client *http.Transport, req *http.Request) int {
	resp, err := client.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// soundParts returns the first part that sound requests share, also with deadly
// ones.
func soundParts(i int) string { return fmt.Sprintf("f%d:40", i%6) }

// deadlyParts returns the parts of a deadly request.
func deadlyParts(i int) string { return soundParts(i) + "," + deadlyPart + ":30" }

// contact is the time in which entry VMs in touch hear of each other.
const contact = 3 * time.Second

func TestPartThatEndsEndpointsIsNotSentOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCrashSite(t, 4, 12)
		ctx, cancel := context.WithCancel(t.Context())
		var ticks sync.WaitGroup
		ticks.Go(func() { s.run(ctx) })
		time.Sleep(time.Second)
		before := s.send(40, 4*time.Second, soundParts)

		var deadly, sound, recovered *outcomes
		var wg sync.WaitGroup
		wg.Go(func() { deadly = s.send(7, 20*time.Second, deadlyParts) })
		wg.Go(func() {
			sound = s.send(40, 10*time.Second, soundParts)
			recovered = s.send(40, 10*time.Second, soundParts)
		})
		wg.Wait()
		cancel()
		ticks.Wait()

		late := s.late()
		t.Logf("%d endpoints ended; deadly: %v, before: %v, during: %v, afterwards: %v", len(s.ends), deadly.by, before.by, sound.by, recovered.by)
		assert.Assert(t, late <= 3, "%d requests with the part reached endpoints later than %s after the fifth end", late, contact)
		for status := range deadly.by {
			assert.Assert(t, status == 0 || status >= http.StatusInternalServerError, "a deadly request was answered %d", status)
		}
		assert.Assert(t, 2*recovered.by[http.StatusOK] >= recovered.total(), "sound requests with the same first parts: %v", recovered.by)
	})
}

// The deadly request shares its first part with sound ones.
func TestRequestThatEndsEndpointsIsNotSentOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCrashSite(t, 4, 12)
		ctx, cancel := context.WithCancel(t.Context())
		var ticks, wg sync.WaitGroup
		ticks.Go(func() { s.run(ctx) })
		time.Sleep(time.Second)
		before := s.send(40, 4*time.Second, soundParts)
		var deadly, sound, recovered *outcomes
		wg.Go(func() {
			deadly = s.sendBodies(2, 20*time.Second, soundParts, func(int) string { return deadlyBody })
		})
		wg.Go(func() {
			sound = s.send(40, 10*time.Second, soundParts)
			recovered = s.send(40, 10*time.Second, soundParts)
		})
		wg.Wait()
		cancel()
		ticks.Wait()

		late := s.lateAfter(3)
		t.Logf("%d endpoints ended; deadly: %v, before: %v, during: %v, afterwards: %v", len(s.ends), deadly.by, before.by, sound.by, recovered.by)
		assert.Assert(t, late <= 3, "the request reached endpoints %d times later than %s after the third end", late, contact)
		assert.Assert(t, 2*recovered.by[http.StatusOK] >= recovered.total(), "sound requests with the same first parts: %v", recovered.by)
	})
}

// Endpoints that end for other causes, several at a time, rule out no requests.
func TestCrashesOfOtherCausesQuarantineNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCrashSite(t, 4, 12)
		ctx, cancel := context.WithCancel(t.Context())
		var ticks, wg sync.WaitGroup
		ticks.Go(func() { s.run(ctx) })
		time.Sleep(time.Second)
		var sound *outcomes
		wg.Go(func() { sound = s.send(40, 20*time.Second, soundParts) })
		for range 6 {
			time.Sleep(3 * time.Second)
			s.crashRunning(4)
		}
		wg.Wait()
		cancel()
		ticks.Wait()
		for _, n := range s.nodes {
			n.state.Locked(func(st LockedState) { assert.Equal(t, len(st.Quarantine.Parts()), 0) })
		}
		t.Logf("answers: %v", sound.by)
		assert.Assert(t, 2*sound.by[http.StatusOK] >= sound.total(), "answers: %v", sound.by)
	})
}

// firstSeed and seeds select the days of TestDeadlyPartAmongOtherTrouble.
var (
	firstSeed = flag.Uint64("first", 1, "first seed of the days with a deadly part")
	seeds     = flag.Uint64("seeds", 4, "number of days with a deadly part")
)

// Days with a deadly part on which entry VMs restart, are cut off from the others,
// and endpoints end for other causes too.
func TestDeadlyPartAmongOtherTrouble(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { playDeadlyDay(t, seed) })
		})
	}
}

func playDeadlyDay(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := newCrashSite(t, 2+rng.IntN(6), 8+rng.IntN(16))
	deadlyRate := 2 + rng.IntN(12)
	ctx, cancel := context.WithCancel(t.Context())
	var ticks, wg sync.WaitGroup
	ticks.Go(func() { s.run(ctx) })
	time.Sleep(time.Second)
	before := s.send(40, 4*time.Second, soundParts)
	var sound, recovered *outcomes
	wg.Go(func() { s.send(deadlyRate, 30*time.Second, deadlyParts) })
	wg.Go(func() {
		sound = s.send(40, 20*time.Second, soundParts)
		recovered = s.send(40, 10*time.Second, soundParts)
	})
	wg.Go(func() { s.makeTrouble(rng, 18*time.Second) })
	wg.Wait()
	cancel()
	ticks.Wait()
	t.Logf("%d nodes, %d a second deadly: %d ended, %d late; sound before %v, during %v, afterwards %v",
		len(s.nodes), deadlyRate, len(s.ends), s.late(), before.by, sound.by, recovered.by)
	assert.Assert(t, s.late() <= 3, "%d requests with the part reached endpoints later than %s after the fifth end", s.late(), contact)
	assert.Assert(t, 2*recovered.by[http.StatusOK] >= recovered.total(), "sound requests with the same first parts: %v", recovered.by)
}

// makeTrouble restarts entry VMs, cuts them off and ends endpoints at random.
func (s *crashSite) makeTrouble(rng *rand.Rand, d time.Duration) {
	nodes := s.size()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond)
		i := rng.IntN(nodes)
		switch rng.IntN(4) {
		case 0:
			s.restart(i)
		case 1:
			n := s.node(i)
			n.cut.Store(!n.cut.Load())
		default:
			s.crashRunning(1 + rng.IntN(3))
		}
	}
}
