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

const (
	joinTime  = 40 * time.Millisecond
	formTime  = 20 * time.Millisecond
	eventTime = 5 * time.Millisecond
)

// Engine is a VM that runs models. It joins and serves groups by order.
type Engine struct {
	troubled
	ID     string
	Server *httptest.Server
	// Ledger, if it is set before the first request, takes note of runs.
	Ledger *Ledger
	store  *Store
	row    map[string]any

	mu     sync.Mutex
	orders uint64
	model  string
	group  map[string]any
	runs   int
	events int // of each answer
}

// NewEngine starts an engine of a service in a data centre and lists it.
func NewEngine(store *Store, id, service, dataCentre, domain string) (*Engine, error) {
	e := &Engine{ID: id, store: store, events: 4}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.next = mux
	e.Server = httptest.NewServer(&e.troubled)
	e.row = map[string]any{
		"service": service, "address": strings.TrimPrefix(e.Server.URL, "http://"), "zone": dataCentre, "slots": 26,
		"state": "ready", "stage": "colocated", "domain": domain, "born": time.Now().UnixMilli(),
	}
	return e, e.list()
}

// list writes the engine's row. mu is not held.
func (e *Engine) list() error {
	e.mu.Lock()
	row := e.state()
	e.mu.Unlock()
	return e.store.Put("servers", e.ID, row)
}

// state returns the engine's account of itself. mu is held.
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

// Advertise lists the engine at another address, such as a proxy's.
func (e *Engine) Advertise(address string) error {
	e.mu.Lock()
	e.row["address"] = address
	e.mu.Unlock()
	return e.list()
}

// Restart lets the engine start again at once: it knows nothing of before.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if e.group != nil {
		e.Ledger.closesHead(e.group)
		e.Ledger.lost(e.name())
	}
	e.orders, e.model, e.group = 0, "", nil
	e.row["born"] = time.Now().UnixMilli()
	e.mu.Unlock()
	e.Server.CloseClientConnections()
	return e.list()
}

// name returns the engine's group. mu is held.
func (e *Engine) name() groupName { return nameOf(e.group) }

// SetEvents sets the number of events of each answer.
func (e *Engine) SetEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = n
}

// Runs returns the number of requests that the engine has run.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Pimentoshore-Instance-Id", e.ID)
	reply(w, http.StatusOK, e.state())
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
		w.WriteHeader(e.carry(o))
	}
}

// carry begins an order and returns the status of its answer. mu is held.
func (e *Engine) carry(o order) int {
	mine := e.group != nil && e.group["name"] == o.Group && e.group["epoch"] == o.Epoch
	switch {
	case o.Op == "join":
		e.join(o)
	case o.Op == "stage":
	case !mine:
		return http.StatusConflict
	case o.Op == "open":
		e.later(formTime, e.group, "open")
	case o.Op == "leave":
		e.Ledger.closesHead(e.group)
		e.group = nil
	default:
		e.Ledger.closesHead(e.group)
		e.group["state"] = "ready"
	}
	e.orders++
	return http.StatusAccepted
}

func (e *Engine) join(o order) {
	rank := 0
	for i, id := range o.Members {
		if id == e.ID {
			rank = i
		}
	}
	e.Ledger.joins(e.ID, e.name(), groupName{o.Group, o.Epoch}, o.Members)
	e.Ledger.closesHead(e.group)
	e.model = o.Model
	e.group = map[string]any{"name": o.Group, "epoch": o.Epoch, "rank": rank, "state": "joining"}
	e.later(joinTime, e.group, "ready")
}

// later changes the state of a membership if it still holds.
func (e *Engine) later(d time.Duration, group map[string]any, state string) {
	time.AfterFunc(d, func() {
		e.mu.Lock()
		if group["state"] != "open" {
			group["state"] = state
		}
		if maps.Equal(e.group, group) {
			e.reached(state)
		}
		e.mu.Unlock()
		_ = e.list() // the value is always JSON
	})
}

// reached tells the ledger of the group's new state, and gives the group up
// some time after a member was lost. mu is held.
func (e *Engine) reached(state string) {
	name := e.name()
	if state == "ready" {
		e.Ledger.becomesReady(e.ID, name)
		return
	}
	e.Ledger.opens(name)
	stalled := e.Ledger.stalled(name)
	if stalled == nil {
		return
	}
	go func() {
		<-stalled
		time.Sleep(stall)
		e.mu.Lock()
		if e.name() == name && e.group["state"] == "open" {
			e.group["state"] = "broken"
			e.Ledger.closes(name)
		}
		e.mu.Unlock()
		_ = e.list() // the value is always JSON
	}()
}

// serve answers a request by a stream of events.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	open := e.group != nil && e.group["state"] == "open"
	if open {
		e.runs++
	}
	events := e.events
	stalled := e.Ledger.stalled(e.name())
	e.mu.Unlock()
	w.Header().Set("Pimentoshore-Attempt-Id", r.Header.Get("Pimentoshore-Attempt-Id"))
	if !open {
		w.Header().Set("Pimentoshore-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.Ledger.ran(r.Header.Get("Pimentoshore-Attempt-Id"), e.ID, r.Header.Get("Pimentoshore-Tenant"))
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent is 0
	out := http.NewResponseController(w)
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

// Shop is a plain service that counts what it runs.
type Shop struct {
	troubled
	Server *httptest.Server
	// Ledger, if it is set before the first request, takes note of runs.
	Ledger *Ledger
	// Takes is how long a request takes, set before the first one.
	Takes time.Duration
	id    string
	store *Store
	row   map[string]any
	mu    sync.Mutex
	runs  int
}

// NewShop starts a plain service and lists it.
func NewShop(store *Store, id, service, dataCentre string) (*Shop, error) {
	s := &Shop{id: id, store: store}
	s.next = http.HandlerFunc(s.serve)
	s.Server = httptest.NewServer(&s.troubled)
	s.row = map[string]any{
		"service": service, "address": strings.TrimPrefix(s.Server.URL, "http://"), "zone": dataCentre, "slots": 6,
		"state": "ready", "born": time.Now().UnixMilli(),
	}
	return s, store.Put("servers", id, s.row)
}

// Advertise lists the service at another address, such as a proxy's.
func (s *Shop) Advertise(address string) error {
	s.row["address"] = address
	return s.store.Put("servers", s.id, s.row)
}

// Restart lets the service start again at once.
func (s *Shop) Restart() error {
	s.mu.Lock()
	s.row["born"] = time.Now().UnixMilli()
	s.mu.Unlock()
	s.Server.CloseClientConnections()
	return s.store.Put("servers", s.id, s.row)
}

func (s *Shop) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	id, account := r.Header.Get("Pimentoshore-Attempt-Id"), r.Header.Get("Pimentoshore-Tenant")
	s.Ledger.ran(id, s.id, account)
	time.Sleep(s.Takes)
	w.Header().Set("Pimentoshore-Attempt-Id", id)
	w.Header().Set("Pimentoshore-Response-Seal", "seal-of-"+s.id)
	if s.Ledger != nil {
		fmt.Fprint(w, id+" ")
	}
	fmt.Fprint(w, "order taken for "+account)
}

// Runs returns the number of requests that the service has run.
func (s *Shop) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}
