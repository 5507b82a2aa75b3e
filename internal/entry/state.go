package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/news"
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
	record    *news.Record
	cat       *catalog.Catalog
	evacuated map[string]bool
	listed    bool // the VMs have been read
	// listedAsOf is when the list was certainly the platform's.
	listedAsOf time.Time
	// failing and regainedAt are about the reads of VMs.
	failing    bool
	regainedAt time.Time
	// unlisted holds VMs whose rows lapsed around an outage.
	unlisted map[string]time.Time
	// readFailedAt is when this node last failed to read from the platform,
	// zero if it has read since.
	readFailedAt time.Time
	// readAt is when this node itself last read the VMs.
	readAt time.Time
	// toldAt is when another node last told what it knows, and toldAtHome when
	// one of the same data centre did.
	toldAt, toldAtHome time.Time
	suspects           *news.Suspects

	// updatedAt and updatedFor are when the targets were last brought up to
	// date, and the changes of vms by then; outdated is whether anything else
	// has changed that they depend on.
	updatedAt  time.Time
	updatedFor uint64
	outdated   bool

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
		log: log, now: now, vms: fleet.NewTable(), targets: dispatch.New(opts), record: news.NewRecord(),
		evacuated: make(map[string]bool), unlisted: make(map[string]time.Time), suspects: news.NewSuspects(),
	}
}

var _ watch.Observer = (*State)(nil)

// Operators implements watch.Observer.
func (s *State) Operators(asOf time.Time, n news.Operators) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takeOperators(asOf, n)
}

// takeOperators takes in what was read here or told by another node. mu is held.
func (s *State) takeOperators(asOf time.Time, n news.Operators) {
	if !s.record.PutOperators(n) {
		return
	}
	s.outdated = true
	s.evacuate(s.record.Evacuated())
	if c := n.Catalog; c != nil && (s.cat == nil || c.Version > s.cat.Version) {
		s.log.Info("configuration in force", "version", c.Version, "read_age", s.now().Sub(asOf))
		s.cat = c
	}
	if s.cat == nil {
		return
	}
	if old := s.view.Load(); old != nil && old.AsOf.After(asOf) {
		asOf = old.AsOf
	}
	s.view.Store(&View{Catalog: s.cat, AsOf: asOf})
}

// evacuate replaces the data centres that are to get no work.
func (s *State) evacuate(out map[string]bool) {
	for dc := range s.evacuated {
		if !out[dc] {
			s.log.Info("evacuation changed", "data_centre", dc, "out", false)
		}
	}
	for dc := range out {
		if !s.evacuated[dc] {
			s.log.Info("evacuation changed", "data_centre", dc, "out", true)
		}
	}
	s.evacuated = out
}

// VMs implements watch.Observer.
func (s *State) VMs(asOf time.Time, n news.VMs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readFailedAt, s.readAt = time.Time{}, asOf
	s.takeVMs(asOf, n)
}

// takeVMs takes in what was read here or told by another node. mu is held.
func (s *State) takeVMs(asOf time.Time, n news.VMs) {
	now := s.now()
	if s.failing {
		s.failing = false
		s.regainedAt = now
		s.log.Info("list of VMs regained", "version", n.Version)
	}
	if !s.record.PutVMs(now, n) {
		return
	}
	if asOf.After(s.listedAsOf) {
		s.listedAsOf = asOf
	}
	present := make(map[string]bool, len(n.Rows))
	for _, row := range n.Rows {
		present[row.ID] = true
		delete(s.unlisted, row.ID)
		if s.vms.ApplyRow(now, row) {
			s.log.Info("VM started", "endpoint", row.ID, "born", row.Born, "service", row.Service)
		}
	}
	for _, id := range n.Removed {
		s.unlist(now, id)
	}
	if n.Whole {
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
func (s *State) ReadFailed(what string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn("platform read failed", "what", what, "error", err)
	if what == "VMs" {
		s.failing = true
		s.readFailedAt = s.now()
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
	if !s.toldHome(now) {
		s.targets.SetReportedBroken(nil)
	}
	if s.cat == nil || !s.outdated && s.updatedFor == s.vms.Changes() && now.Sub(s.updatedAt) < updateEvery {
		return nil
	}
	s.updatedAt, s.updatedFor, s.outdated = now, s.vms.Changes(), false
	return s.targets.Update(now, s.vms, s.cat, s.evacuated)
}

// updateEvery is how often the targets are brought up to date while nothing is
// heard of VMs: some of what they depend on follows from time alone.
const updateEvery = 150 * time.Millisecond

// Locked runs f with what the node knows. f must not block.
func (s *State) Locked(f func(k LockedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f(LockedState{
		Now: now, VMs: s.vms, Targets: s.targets, Catalog: s.cat, Evacuated: s.evacuated, Listed: s.listed,
		Told: s.told(now), ToldAtHome: s.toldHome(now), Suspects: s.suspects,
	})
}

// LockedState is what a node knows; it may only be used while it is locked.
type LockedState struct {
	Now       time.Time
	VMs       *fleet.Table
	Targets   *dispatch.Table
	Catalog   *catalog.Catalog // nil if none is known yet
	Evacuated map[string]bool
	Listed    bool
	// Told is whether another node tells what it hears of endpoint VMs.
	Told bool
	// ToldAtHome is whether one of the same data centre does.
	ToldAtHome bool
	Suspects   *news.Suspects
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

// usual returns how long endpoints usually take until an answer begins.
func (s *State) usual(service, model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.MeanFirstByteTime(service, model)
}

func (s *State) done(t *dispatch.Ticket, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.Done(s.now(), t, outcome)
}

// ended reports whether the VM that ran a request is gone.
func (s *State) ended(t *dispatch.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Ended(t)
}

func (s *State) progress(t *dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.RecordProgress(s.now(), t)
}

// pause notes that the endpoint of a ticket has asked for no requests for d.
func (s *State) pause(t *dispatch.Ticket, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Pause(s.now(), t, d)
}

// leaving notes that the endpoint of a ticket has said that it leaves. It
// reports whether that is new.
func (s *State) leaving(t *dispatch.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.MarkLeaving(s.now(), t)
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
