// Package cloud is a stand-in for the users' platform on loopback: a row store
// with conditional transactions and a change feed, model engines that form
// groups on order, and a plain service. Tests inject faults.
package cloud

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// name identifies the row in the store.
func (r Row) name() string { return r.Table + "/" + r.Key }

// Fault is a failure mode of the store.
type Fault string

// Faults of the store.
const (
	Healthy Fault = ""
	Busy    Fault = "busy"   // answers 503
	Silent  Fault = "silent" // never answers
	Lost    Fault = "lost"   // applies the transaction, then closes the connection without an answer
)

// Store is an in-memory row store, served over HTTP by Server.
type Store struct {
	Server *httptest.Server

	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	history []Row
	changed chan struct{}
	fault   Fault
	// oldest is the version up to which the history has been dropped.
	oldest uint64

	calls []Call

	// era counts the restores, from 1, and restoredTo is the version of the last one.
	era, restoredTo uint64
	// written lists all rows written by Put and Delete, in order.
	written []Row
	// lost is the range of written that restores have undone and that Rewrite has
	// not written again.
	lost struct{ from, to int }
}

// eraHeader is the header, in all answers, that holds the store's era.
const eraHeader = "Store-Era"

// NewStore starts an empty store.
func NewStore() *Store {
	s := &Store{rows: make(map[string]Row), changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.setEra(w)
		s.calls = append(s.calls, Call{time.Now(), r.URL.Path, r.URL.Query().Get("table")})
		s.mu.Unlock()
		mux.ServeHTTP(w, r)
	}))
	return s
}

// setEra sets the header that holds the era. The caller must hold mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

// Address returns the store's IP address and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.Server.URL, "http://") }

// Call is a call to the store. Table is empty for transactions.
type Call struct {
	At          time.Time
	Path, Table string
}

// Calls returns all calls in the order of their arrival, refused ones included.
func (s *Store) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Fail sets the store's failure mode.
func (s *Store) Fail(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the change history. Feeds from before it are answered 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Put writes a row on behalf of the operator or a VM. It works in every failure
// mode.
func (s *Store) Put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Value: raw})
	return nil
}

// write writes a row on behalf of the operator or a VM. The caller must hold mu.
func (s *Store) write(r Row) {
	s.written = append(s.written, r)
	s.version++
	s.set(r)
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Row
	for _, r := range s.rows {
		if r.Table == table {
			out = append(out, r)
		}
	}
	return out
}

// Delete removes a row. Like Put, it works in every failure mode.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Deleted: true})
}

// Relist removes all rows of a table and writes them again, so that one answer of the
// feed names both changes. Like Put, it works in every failure mode.
func (s *Store) Relist(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range slices.Collect(maps.Values(s.rows)) {
		if row.Table == table {
			s.write(Row{Table: table, Key: row.Key, Deleted: true})
			s.write(row)
		}
	}
}

// set applies a row at the current version and wakes the feeds. The caller must
// hold mu.
func (s *Store) set(r Row) {
	r.Version = s.version
	name := r.name()
	if r.Deleted {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
	s.wake()
}

// wake wakes the feeds. The caller must hold mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectFault applies the current failure mode and reports whether it has ended
// the request.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case Silent:
		// The HTTP server detects a closed connection only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body) // the body may be truncated
		<-r.Context().Done()
		return true
	}
	return false
}

type answer struct {
	Rows    []Row  `json:"rows,omitempty"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
}

func writeJSON(w http.ResponseWriter, status int, a any) {
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if s.injectFault(w, r) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	a := answer{Version: s.version}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	writeJSON(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	if s.injectFault(w, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // invalid values are not expected from tests
	wait, _ := strconv.Atoi(q.Get("wait-ms"))             // likewise
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.setEra(w)
		a, gone, changed := s.changesSince(q.Get("table"), after), !s.hasHistory(era, after), s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Rows) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// hasHistory reports whether a feed that began in an era can resume from a
// version. The caller must hold mu.
func (s *Store) hasHistory(era, after uint64) bool {
	undone := era != s.era && after > s.restoredTo
	return after >= s.oldest && after <= s.version && !undone
}

// changesSince returns the changes of a table after a version. The caller must
// hold mu.
func (s *Store) changesSince(table string, after uint64) answer {
	a := answer{Version: s.version}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			a.Rows = append(a.Rows, row)
		}
	}
	return a
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	if s.injectFault(w, r) {
		return
	}
	var tx struct {
		Conditions []Row `json:"expected-rev"`
		Sets       []Row `json:"set-keys"`
		Deletes    []Row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	for _, c := range tx.Conditions {
		if s.rows[c.name()].Version != c.Version {
			writeJSON(w, http.StatusPreconditionFailed, answer{Version: s.version})
			return
		}
	}
	s.version++
	for _, row := range tx.Sets {
		s.set(row)
	}
	for _, row := range tx.Deletes {
		row.Deleted = true
		s.set(row)
	}
	if s.fault == Lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, answer{Version: s.version})
}
