package review

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

// Figures of the engines, as on the sheets.
const (
	service       = "llm"
	model         = "m0"
	groupSize     = 4
	formTime      = 300 * time.Millisecond
	heldJoinTime  = 200 * time.Millisecond
	warmTime      = 1600 * time.Millisecond
	loadTime      = 16 * time.Second
	stallTime     = 5 * time.Second
	heartbeat     = 1200 * time.Millisecond
	silentBeats   = 3
	answerEvents  = 20
	eventInterval = 10 * time.Millisecond
)

// fleet are the engines of the deployment.
type fleet struct {
	store *cloud.Store
	log   *record

	mu      sync.Mutex
	engines map[string]*engine
	traffic bool // requests have begun
	// loseOpen is whether the next order to open gets no answer, though it is carried out.
	loseOpen bool
	// resetStage is whether the channel of the next order to stage is reset before the
	// order is read, as a server does with channels beyond its limit.
	resetStage bool
}

// membership is an engine's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	// stalledAt is when the head noticed that a member is missing.
	stalledAt time.Time
}

// engine is one lifetime of a server.
type engine struct {
	fleet  *fleet
	id     string
	born   int64
	server *http.Server
	addr   string

	// The fields below are guarded by fleet.mu.
	dead      bool
	seq       uint64
	beats     int
	busyUntil time.Time
	maxEpoch  uint64
	group     *membership
	lastModel string
	staged    []string
	running   int
}

func (f *fleet) start(id string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{fleet: f, id: id, born: time.Now().UnixMilli(), addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.ask)
	e.server = &http.Server{Handler: mux}
	f.mu.Lock()
	f.engines[id] = e
	f.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	f.log.add("server %s starts at %s", id, e.addr)
	return e, nil
}

// crash ends an engine without a word. Its row expires after some heartbeats.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	e := f.engines[id]
	e.dead = true
	f.mu.Unlock()
	f.log.add("server %s crashes", id)
	_ = e.server.Close()
	time.AfterFunc(silentBeats*heartbeat, func() { f.store.Delete("servers", id) })
}

// beat writes the engine's row until it ends.
func (e *engine) beat() {
	for {
		e.fleet.mu.Lock()
		if e.dead {
			e.fleet.mu.Unlock()
			return
		}
		e.beats++
		row := e.state()
		row["seq"] = e.beats
		e.fleet.mu.Unlock()
		if err := e.fleet.store.Put("servers", e.id, row); err != nil {
			panic(err) // a row can always be encoded
		}
		time.Sleep(heartbeat)
	}
}

// state is what an engine says of itself. fleet.mu is held.
func (e *engine) state() map[string]any {
	models := []any{}
	if e.lastModel != "" && (e.group == nil || e.group.State != "joining") {
		models = append(models, map[string]any{"name": e.lastModel, "version": 1, "adapters": []string{}})
	}
	out := map[string]any{
		"service": service, "address": e.addr, "zone": "cz-central-a", "version": "v1", "slots": 26, "state": "ready", "cold-left-ms": 0,
		"stage": "colocated", "models": models, "domain": "d0", "staged": e.staged, "born": e.born, "seq": e.seq,
		"busy": time.Now().Before(e.busyUntil), "waiting": 0, "running": e.running, "kv-used": 1000 * e.running, "kv-total": 1400000, "handles": 0, "pace": 1.0,
	}
	if e.staged == nil {
		out["staged"] = []string{}
	}
	if e.group != nil {
		out["group"] = e.group
	}
	return out
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.fleet.mu.Lock()
	e.checkGroup(time.Now())
	raw, err := json.Marshal(e.state())
	e.fleet.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.Header().Set("Pimentoshore-Instance-Id", e.id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// checkGroup lets a head notice a missing member, and give up after stallTime. fleet.mu
// is held.
func (e *engine) checkGroup(now time.Time) {
	g := e.group
	if g == nil || g.Rank != 0 || g.State != "open" && g.State != "closing" {
		return
	}
	for _, id := range g.members {
		m := e.fleet.engines[id]
		if m == nil || m.dead || m.group == nil || m.group.Name != g.Name || m.group.Epoch != g.Epoch {
			if g.stalledAt.IsZero() {
				g.stalledAt = now
			}
		}
	}
	if !g.stalledAt.IsZero() && now.Sub(g.stalledAt) >= stallTime {
		g.State = "broken"
	}
}

// order is the body of an order.
type order struct {
	Op       string   `json:"op"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Expected *uint64  `json:"expected-rev"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.fleet.mu.Lock()
	if o.Op == "stage" && e.fleet.resetStage {
		e.fleet.resetStage = false
		e.fleet.mu.Unlock()
		e.fleet.log.add("order to %s: %s %s: the channel is reset, and nothing is done", e.id, o.Op, o.Model)
		panic(http.ErrAbortHandler)
	}
	status := e.execute(r, &o)
	lost := o.Op == "open" && status == http.StatusAccepted && e.fleet.loseOpen
	if lost {
		e.fleet.loseOpen = false
	}
	seq := e.seq
	e.fleet.mu.Unlock()
	e.fleet.log.add("order to %s: %s %s epoch %d expected %d: %d, seq %d%s", e.id, o.Op, o.Group, o.Epoch, value(o.Expected), status, seq, map[bool]string{true: " (the answer is lost)"}[lost])
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Pimentoshore-Instance-Id", e.id)
	w.WriteHeader(status)
}

func value(n *uint64) uint64 {
	if n == nil {
		return 0
	}
	return *n
}

// execute begins an order and returns the status of its answer. fleet.mu is held.
func (e *engine) execute(r *http.Request, o *order) int {
	now := time.Now()
	matches := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case r.Header.Get("Pimentoshore-Expect-Instance") != e.id:
		return http.StatusMisdirectedRequest
	case o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	case o.Op == "join":
		return e.join(now, o)
	case o.Op == "stage":
		return e.stage(now, o)
	case !matches:
		return http.StatusConflict
	}
	g := e.group
	switch o.Op {
	case "open":
		if g.State == "open" {
			return http.StatusOK
		}
		if g.Rank != 0 || g.State != "ready" || now.Before(e.busyUntil) {
			return http.StatusConflict
		}
		e.begin(now, formTime, func() { g.State = "open" }, g)
		return http.StatusAccepted
	case "close":
		if g.State != "open" {
			return http.StatusConflict
		}
		g.State = "closing"
		e.begin(now, 100*time.Millisecond, func() { g.State = "ready" }, g)
		return http.StatusAccepted
	case "leave":
		e.seq++
		e.group = nil
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// begin counts an order and ends it after a time, unless the membership has changed.
// fleet.mu is held.
func (e *engine) begin(now time.Time, d time.Duration, end func(), g *membership) {
	e.seq++
	e.busyUntil = now.Add(d)
	time.AfterFunc(d, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if e.group == g && !e.dead {
			end()
		}
	})
}

func (e *engine) join(now time.Time, o *order) int {
	rank := slices.Index(o.Members, e.id)
	same := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case rank < 0 || o.Model != model:
		return http.StatusConflict
	case o.Epoch < e.maxEpoch, same && !slices.Equal(e.group.members, o.Members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	d := loadTime
	switch {
	case e.lastModel == o.Model:
		d = heldJoinTime
	case slices.Contains(e.staged, o.Model):
		d = warmTime
	case !e.fleet.traffic:
		d = loadTime / 10
	}
	e.maxEpoch = o.Epoch
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", members: o.Members}
	e.group = g
	e.begin(now, d, func() {
		g.State = "ready"
		e.lastModel, e.staged = o.Model, []string{o.Model}
	}, g)
	return http.StatusAccepted
}

func (e *engine) stage(now time.Time, o *order) int {
	if slices.Contains(e.staged, o.Model) {
		return http.StatusOK
	}
	d := loadTime
	if !e.fleet.traffic {
		d /= 10
	}
	e.begin(now, d, func() { e.staged = []string{o.Model} }, e.group)
	return http.StatusAccepted
}

// errStalled means that a member of the group is missing.
var errStalled = errors.New("a member of the group is missing")

// mayRun returns the HTTP status with which a request is refused, or 0 if it runs.
func (e *engine) mayRun(r *http.Request) int {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.traffic = true
	e.checkGroup(time.Now())
	g := e.group
	switch {
	case r.Header.Get("Pimentoshore-Expect-Instance") != e.id, g == nil, g.Rank != 0, r.Header.Get("Pimentoshore-Model") != model:
		return http.StatusMisdirectedRequest
	case g.State != "open" && g.State != "closing":
		return http.StatusServiceUnavailable
	}
	return 0
}

func (e *engine) ask(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Pimentoshore-Attempt-Id")
	w.Header().Set("Pimentoshore-Attempt-Id", id)
	if status := e.mayRun(r); status != 0 {
		w.Header().Set("Pimentoshore-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.fleet.log.add("request %s runs at %s", id, e.id)
	e.addRunning(1)
	defer e.addRunning(-1)
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is absent
	out := http.NewResponseController(w)
	for n := from + 1; n <= answerEvents; n++ {
		if e.waitForMembers(r.Context()) != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		if out.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

func (e *engine) addRunning(n int) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.running += n
}

// waitForMembers waits while a member of the group is missing, and returns an error once
// the engine gives up.
func (e *engine) waitForMembers(ctx context.Context) error {
	for {
		e.fleet.mu.Lock()
		e.checkGroup(time.Now())
		g := e.group
		goesOn := g != nil && g.stalledAt.IsZero()
		givesUp := g == nil || g.State == "broken" || e.dead
		e.fleet.mu.Unlock()
		switch {
		case goesOn:
			return nil
		case givesUp:
			return errStalled
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
