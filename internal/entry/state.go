package entry

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/internal/watch"
)

// relistGrace is how long after an outage VMs whose rows lapsed meanwhile may
// take to be listed again.
const relistGrace = 2200 * time.Millisecond

// State is what this node knows and shares between its parts. It is safe for
// concurrent use.
type State struct {
	log *slog.Logger
	now func() time.Time

	mu        sync.Mutex
	vms       *fleet.Table
	targets   *dispatch.Table
	cat       *catalog.Catalog
	evacuated map[string]bool
	listed    bool // the VMs have been read
	// failing and regainedAt are about the reads of VMs.
	failing    bool
	regainedAt time.Time
	// unlisted holds VMs whose rows lapsed around an outage.
	unlisted map[string]time.Time

	view atomic.Pointer[View]
	// traffic counts requests.
	traffic atomic.Int64
}

// View is what is known of the operators' catalog.
type View struct {
	Catalog *catalog.Catalog
	// AsOf is when the catalog was certainly in force.
	AsOf time.Time
}

// NewState returns the state of a node that knows nothing yet.
func NewState(log *slog.Logger, now func() time.Time, opts dispatch.Options) *State {
	return &State{
		log: log, now: now, vms: fleet.NewTable(), targets: dispatch.New(opts),
		evacuated: make(map[string]bool), unlisted: make(map[string]time.Time),
	}
}

var _ watch.Observer = (*State)(nil)

// Operators implements watch.Observer.
func (s *State) Operators(asOf time.Time, news watch.OperatorNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if news.Whole {
		if !maps.Equal(s.evacuated, news.Evacuated) {
			s.log.Info("evacuation read", "data_centres", news.Evacuated)
		}
		s.evacuated = news.Evacuated
	}
	for dc, out := range news.Evacuated {
		if out == s.evacuated[dc] {
			continue
		}
		s.log.Info("evacuation changed", "data_centre", dc, "out", out)
		if out {
			s.evacuated[dc] = true
		} else {
			delete(s.evacuated, dc)
		}
	}
	if c := news.Catalog; c != nil && (s.cat == nil || c.Version > s.cat.Version) {
		s.log.Info("configuration in force", "version", c.Version, "read_age", s.now().Sub(asOf))
		s.cat = c
	}
	if s.cat != nil {
		s.view.Store(&View{Catalog: s.cat, AsOf: asOf})
	}
}

// VMs implements watch.Observer.
func (s *State) VMs(_ time.Time, news watch.VMNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.failing {
		s.failing = false
		s.regainedAt = now
		s.log.Info("list of VMs regained", "version", news.Version)
	}
	present := make(map[string]bool, len(news.Rows))
	for _, row := range news.Rows {
		present[row.ID] = true
		delete(s.unlisted, row.ID)
		if s.vms.ApplyRow(now, row) {
			s.log.Info("VM started", "endpoint", row.ID, "born", row.Born, "service", row.Service)
		}
	}
	for _, id := range news.Removed {
		s.unlist(now, id)
	}
	if news.Whole {
		for _, vm := range s.vms.All() {
			if vm.Listed && !present[vm.ID] {
				s.unlist(now, vm.ID)
			}
		}
	}
	s.listed = true
}

// unlist takes a VM out of the list, but for those that may have lapsed while
// the platform was away: they have a while to come back.
func (s *State) unlist(now time.Time, id string) {
	if now.Sub(s.regainedAt) < relistGrace && !s.regainedAt.IsZero() {
		if _, waits := s.unlisted[id]; !waits {
			s.unlisted[id] = s.regainedAt.Add(relistGrace)
		}
		return
	}
	s.log.Info("VM no longer listed", "endpoint", id)
	s.vms.Unlist(now, id)
}

// ReadFailed implements watch.Observer.
func (s *State) ReadFailed(_ time.Time, what string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn("platform read failed", "what", what, "error", err)
	if what == "VMs" {
		s.failing = true
	}
}

// Tick brings the targets up to date and returns the tickets whose targets
// are lost.
func (s *State) Tick() []*dispatch.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, due := range s.unlisted {
		if !now.Before(due) {
			delete(s.unlisted, id)
			s.log.Info("VM no longer listed", "endpoint", id, "after", "outage")
			s.vms.Unlist(now, id)
		}
	}
	s.vms.Sweep(now)
	if s.cat == nil {
		return nil
	}
	return s.targets.Update(now, s.vms, s.cat, s.evacuated)
}

// Locked runs f with what the node knows. f must not block.
func (s *State) Locked(f func(k Knowledge)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(Knowledge{Now: s.now(), VMs: s.vms, Targets: s.targets, Catalog: s.cat, Evacuated: s.evacuated, Listed: s.listed})
}

// Knowledge is what a node knows; it may only be used while it is locked.
type Knowledge struct {
	Now       time.Time
	VMs       *fleet.Table
	Targets   *dispatch.Table
	Catalog   *catalog.Catalog // nil if none is known yet
	Evacuated map[string]bool
	Listed    bool
}

// View returns what is known of the catalog, or nil.
func (s *State) View() *View { return s.view.Load() }

// Traffic returns the number of requests so far.
func (s *State) Traffic() int64 { return s.traffic.Load() }

// pick places a request.
func (s *State) pick(q dispatch.Query, cancel func()) (*dispatch.Ticket, *dispatch.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket, refusal := s.targets.Pick(s.now(), q)
	if ticket != nil {
		ticket.Cancel = cancel
	}
	return ticket, refusal
}

func (s *State) done(t *dispatch.Ticket, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.Done(s.now(), t, outcome)
}

func (s *State) progress(t *dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.ProgressAt = s.now()
	t.Begun = true
}

func (s *State) countRequest(service string) {
	s.traffic.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.CountRequest(s.now(), service)
}

func (s *State) takeRepeat(service string, begun bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.TakeRepeat(s.now(), service, begun)
}
