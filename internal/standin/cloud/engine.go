package cloud

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Simulated durations of joining a group, of opening it and of one stream event.
const (
	joinTime  = 40 * time.Millisecond
	formTime  = 20 * time.Millisecond
	eventTime = 5 * time.Millisecond
)

// Engine is a stand-in for a model engine VM. Orders make it join, open and
// leave groups.
type Engine struct {
	faultyHandler
	ID     string
	Server *httptest.Server
	// Ledger, if set before the first request, records runs.
	Ledger *Ledger
	store  *Store

	mu     sync.Mutex
	row    map[string]any
	orders uint64
	model  string
	group  map[string]any
	runs   int
	events int // number of events in each answer
	// deadlyPart is a part of prompts that restarts the engine, or empty.
	deadlyPart string
}

// NewEngine starts an engine of a service in a data centre and writes its row
// to the store.
func NewEngine(store *Store, id, service, dataCentre, domain string) (*Engine, error) {
	e := &Engine{ID: id, store: store, events: 4}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.next = mux
	e.Server = httptest.NewServer(&e.faultyHandler)
	e.row = map[string]any{
		"service": service, "address": strings.TrimPrefix(e.Server.URL, "http://"), "zone": dataCentre, "slots": 26,
		"state": "ready", "stage": "colocated", "domain": domain, "born": time.Now().UnixMilli(),
	}
	return e, e.writeRow()
}

// writeRow writes the engine's row to the store. It holds mu throughout, so that
// rows are written in the order of the changes. The caller must not hold mu.
func (e *Engine) writeRow() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.store.Put("servers", e.ID, e.state())
}

// state returns the engine's report, which is also its row in the store. The
// caller must hold mu.
func (e *Engine) state() map[string]any {
	out := map[string]any{"seq": e.orders, "models": []any{}, "staged": []string{}, "running": 0, "waiting": 0, "pace": 1}
	for key, value := range e.row {
		out[key] = value
	}
	if e.model != "" {
		out["models"] = []any{map[string]any{"name": e.model, "version": 1}}
		out["staged"] = []string{e.model}
	}
	if e.group != nil {
		out["group"] = e.group
	}
	return out
}

// Advertise changes the address in the engine's row, for example to that of a
// proxy.
func (e *Engine) Advertise(address string) error {
	e.mu.Lock()
	e.row["address"] = address
	e.mu.Unlock()
	return e.writeRow()
}

// Restart simulates an immediate restart of the engine: it loses its model,
// group and order count, and its connections are closed.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.group != nil {
		e.Ledger.recordHeadClose(e.group)
		e.Ledger.recordLoss(e.currentGroup())
	}
	e.orders, e.model, e.group = 0, "", nil
	e.row["born"] = time.Now().UnixMilli()
	e.mu.Unlock()
	e.Server.CloseClientConnections()
	return e.writeRow()
}

// currentGroup returns the engine's group, or the zero value if it has none.
// The caller must hold mu.
func (e *Engine) currentGroup() groupName { return groupNameOf(e.group) }

// SetEvents sets the number of events in each answer.
func (e *Engine) SetEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = n
}

// SetDeadlyPart makes the engine restart when it begins to answer a prompt with the
// given part.
func (e *Engine) SetDeadlyPart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadlyPart = id
}

// isDeadly reports whether a prompt contains the deadly part.
func (e *Engine) isDeadly(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deadlyPart != "" && strings.Contains(r.Header.Get("Pimentoshore-Prefix-Hash"), e.deadlyPart)
}

// Epoch returns the epoch of the engine's group, or 0 if it has none.
func (e *Engine) Epoch() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentGroup().epoch
}

// Runs returns the number of requests the engine has run.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Pimentoshore-Instance-Id", e.ID)
	writeJSON(w, http.StatusOK, e.state())
}

type order struct {
	Op       string   `json:"op"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Expected uint64   `json:"expected-rev"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get("Pimentoshore-Expect-Instance") != e.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(e.execute(o))
	}
}

// execute starts to carry out an order and returns the HTTP status for it. The
// caller must hold mu.
func (e *Engine) execute(o order) int {
	matches := e.group != nil && e.group["name"] == o.Group && e.group["epoch"] == o.Epoch
	switch {
	case o.Op == "join":
		e.join(o)
	case o.Op == "stage":
	case !matches:
		return http.StatusConflict
	case o.Op == "open":
		e.setStateAfter(formTime, e.group, "open")
	case o.Op == "leave":
		e.Ledger.recordHeadClose(e.group)
		e.group = nil
	default:
		e.Ledger.recordHeadClose(e.group)
		e.group["state"] = "ready"
	}
	e.orders++
	return http.StatusAccepted
}

// join replaces the engine's membership by the one that the order names. The
// caller must hold mu.
func (e *Engine) join(o order) {
	rank := 0
	for i, id := range o.Members {
		if id == e.ID {
			rank = i
		}
	}
	e.Ledger.recordJoin(e.ID, e.currentGroup(), groupName{o.Group, o.Epoch}, o.Members)
	e.Ledger.recordHeadClose(e.group)
	e.model = o.Model
	e.group = map[string]any{"name": o.Group, "epoch": o.Epoch, "rank": rank, "state": "joining"}
	e.setStateAfter(joinTime, e.group, "ready")
}

// setStateAfter changes the state of a membership after d, unless it is open
// already. The ledger records the change only if the engine is still in that group.
func (e *Engine) setStateAfter(d time.Duration, group map[string]any, state string) {
	time.AfterFunc(d, func() {
		e.mu.Lock()
		if group["state"] != "open" {
			group["state"] = state
		}
		if maps.Equal(e.group, group) {
			e.recordState(state)
		}
		e.mu.Unlock()
		_ = e.writeRow() // the row can always be encoded as JSON
	})
}

// recordState records the group's new state in the ledger. For an open group it
// also waits in the background for the loss of a member and marks the group
// broken stallTimeout later. The caller must hold mu.
func (e *Engine) recordState(state string) {
	name := e.currentGroup()
	if state == "ready" {
		e.Ledger.recordReady(e.ID, name)
		return
	}
	e.Ledger.recordOpen(name)
	stalled := e.Ledger.stalled(name)
	if stalled == nil {
		return
	}
	go func() {
		<-stalled
		time.Sleep(stallTimeout)
		e.mu.Lock()
		if e.currentGroup() == name && e.group["state"] == "open" {
			e.group["state"] = "broken"
			e.Ledger.recordClose(name)
		}
		e.mu.Unlock()
		_ = e.writeRow() // the row can always be encoded as JSON
	}()
}

// serve answers a request with a stream of events if the engine's group is open.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	open := e.group != nil && e.group["state"] == "open"
	if open {
		e.runs++
	}
	events := e.events
	group := e.currentGroup()
	stalled := e.Ledger.stalled(group)
	e.mu.Unlock()
	w.Header().Set("Pimentoshore-Attempt-Id", r.Header.Get("Pimentoshore-Attempt-Id"))
	if !open {
		w.Header().Set("Pimentoshore-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.Ledger.recordRun(r.Header.Get("Pimentoshore-Attempt-Id"), e.ID, r.Header.Get("Pimentoshore-Tenant"), group)
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is absent
	out := http.NewResponseController(w)
	if e.isDeadly(r) {
		_ = out.Flush() // the caller may have disconnected
		_ = e.Restart() // the row can always be encoded as JSON
		panic(http.ErrAbortHandler)
	}
	for id := from + 1; id <= events; id++ {
		select {
		case <-stalled:
			<-r.Context().Done()
			return
		default:
		}
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", id)
		if out.Flush() != nil {
			return
		}
		time.Sleep(eventTime)
	}
}

// PlainService is a plain service that counts the requests it runs.
type PlainService struct {
	faultyHandler
	Server *httptest.Server
	// Ledger, if set before the first request, records runs.
	Ledger *Ledger
	// RequestTime is the duration of each request. It must be set before the first one.
	RequestTime time.Duration
	id          string
	store       *Store

	mu   sync.Mutex
	row  map[string]any
	runs int
}

// NewPlainService starts a plain service and writes its row to the store.
func NewPlainService(store *Store, id, service, dataCentre string) (*PlainService, error) {
	s := &PlainService{id: id, store: store}
	s.next = http.HandlerFunc(s.serve)
	s.Server = httptest.NewServer(&s.faultyHandler)
	s.row = map[string]any{
		"service": service, "zone": dataCentre, "slots": 6, "state": "ready", "born": time.Now().UnixMilli(),
	}
	return s, s.set("address", strings.TrimPrefix(s.Server.URL, "http://"))
}

// set sets a value of the service's row and writes the row to the store.
func (s *PlainService) set(key string, value any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.row[key] = value
	return s.store.Put("servers", s.id, s.row)
}

// Advertise changes the address in the service's row, for example to that of a
// proxy.
func (s *PlainService) Advertise(address string) error { return s.set("address", address) }

// Leave makes the service announce in its row that it leaves, or removes the row
// without announcement. The service goes on serving.
func (s *PlainService) Leave(announce bool) error {
	if announce {
		return s.set("state", "draining")
	}
	s.store.Delete("servers", s.id)
	return nil
}

// Restart simulates an immediate restart: the service's connections are closed
// and its row gets a new start time.
func (s *PlainService) Restart() error {
	s.Server.CloseClientConnections()
	return s.set("born", time.Now().UnixMilli())
}

func (s *PlainService) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	id, account := r.Header.Get("Pimentoshore-Attempt-Id"), r.Header.Get("Pimentoshore-Tenant")
	s.Ledger.recordRun(id, s.id, account, groupName{})
	time.Sleep(s.RequestTime)
	w.Header().Set("Pimentoshore-Attempt-Id", id)
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+s.id)
	if s.Ledger != nil {
		fmt.Fprint(w, id+" ")
	}
	fmt.Fprint(w, "order taken for "+account)
}

// Runs returns the number of requests the service has run.
func (s *PlainService) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}
