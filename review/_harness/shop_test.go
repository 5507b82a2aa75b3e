package review

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Names of the platform's headers.
const (
	headerID     = "Pimentoshore-Attempt-Id"
	headerSeal   = "Pimentoshore-Response-Seal"
	headerNotRun = "Pimentoshore-Not-Executed"
	headerExpect = "Pimentoshore-Expect-Instance"
	headerTenant = "Pimentoshore-Tenant"
)

// shop is a sound server of a plain service: it reads each request whole, runs it in
// one of its slots and answers.
type shop struct {
	w      *world
	id     string
	server *httptest.Server
	slots  chan struct{}
	work   time.Duration
	quiet  bool // whether runs are left out of the record
	// answer, if set, writes the answer to a request that has run.
	answer func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs map[string]int         // by the request's ID
	sent map[string]http.Header // the header of the last run
}

// shopSlots is the number of requests that a server runs at once.
const shopSlots = 6

// addShop starts a server and writes its entry to the store.
func (w *world) addShop(id, service, zone string, work time.Duration) (*shop, error) {
	s := &shop{w: w, id: id, slots: make(chan struct{}, shopSlots), work: work, runs: make(map[string]int), sent: make(map[string]http.Header)}
	s.server = httptest.NewServer(s)
	return s, w.store.Put("servers", id, object{
		"service": service, "address": strings.TrimPrefix(s.server.URL, "http://"), "zone": zone, "version": "1", "slots": shopSlots,
		"state": "ready", "cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (s *shop) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if r.Context().Err() != nil {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.sent[id] = r.Header.Clone()
	s.mu.Unlock()
	if !s.quiet {
		s.w.note("%s runs %s (%s %s, %d bytes)", s.id, id, r.Method, r.URL.Path, len(body))
	}
	time.Sleep(s.work)
	w.Header().Set(headerSeal, "seal-"+id)
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	fmt.Fprint(w, "done "+id)
}

// ran returns how often a request has run here, and its header as it arrived.
func (s *shop) ran(id string) (int, http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.sent[id]
}
