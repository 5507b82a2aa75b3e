package entry

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/coord/waitqueue"
)

// State is the fleet state and configuration known to this node, shared by its
// components. It is safe for concurrent use.
type State struct {
	log *slog.Logger
	now func() time.Time

	mu      sync.Mutex
	vms     *fleet.Table
	targets *dispatch.Table
	record  *updates.Record
	cat     *catalog.Catalog
	// rereadVersion is the version of the configuration at the last read of all
	// operators' rows.
	rereadVersion int64
	// unusableVersion is the version of the last configuration that was logged as one
	// that can't be used.
	unusableVersion int64
	evacuated       map[string]bool
	listed          bool // the list of VMs has been received
	// listedAsOf is the latest time at which the list is certain to have matched
	// the platform's.
	listedAsOf time.Time
	// vmReadFailing reports whether a read of VMs has failed since VMs were last
	// received. vmReadRecoveredAt is when VMs were last received again after a
	// failure, by this node or a peer.
	vmReadFailing     bool
	vmReadRecoveredAt time.Time
	// relistDeadlines contains the time by which each VM whose row lapsed around
	// an outage must be listed again.
	relistDeadlines map[string]time.Time
	// readFailedAt is when this node's last read of VMs failed, or zero if one has
	// succeeded since.
	readFailedAt time.Time
	// readAt is the time of this node's own last successful read of VMs.
	readAt time.Time
	// peerAnsweredAt is when a peer last answered, and localPeerAnsweredAt when
	// one in the same data centre did.
	peerAnsweredAt, localPeerAnsweredAt time.Time
	// spreadsReads and relaysSource are the arguments of SetSource.
	spreadsReads, relaysSource bool
	// peerCatalogOutdated reports whether the peer that answered last has an older
	// configuration than this node.
	peerCatalogOutdated bool
	suspects            *updates.Suspects

	// waiting are the requests of ranked services that wait for a slot, and shares the
	// work served for the accounts of each of these services.
	waiting map[waitKey]*waitList
	shares  map[string]*waitqueue.Shares

	// demand knows which part of all requests this node gets.
	demand *updates.Demand

	quarantine *quarantine.Record
	// triesQuarantined reports whether this node is the one that tries parts of
	// prompts again after their quarantine.
	triesQuarantined bool
	// savedQuarantine contains the time of the newest end of each row of the
	// platform, in Unix milliseconds. It is nil until the rows have been read.
	savedQuarantine map[quarantine.Part]int64
	// reportedTo is the process that answered last, and reportedSince the time up to
	// which it knows what this node learned.
	reportedTo    string
	reportedSince time.Time

	// targetsUpdatedAt is when targets was last updated, and updatedChanges the
	// change count of vms at that time. targetsOutdated reports whether anything
	// else that targets depends on has changed since.
	targetsUpdatedAt time.Time
	updatedChanges   uint64
	targetsOutdated  bool

	view atomic.Pointer[View]
	// traffic is the number of requests so far.
	traffic atomic.Int64
}

// View is the newest catalog that the node has received.
type View struct {
	Catalog *catalog.Catalog
	// AsOf is the latest time at which the catalog is certain to have been in
	// force.
	AsOf time.Time
}

// NewState returns the state of a node that has received no data yet.
func NewState(log *slog.Logger, now func() time.Time, opts dispatch.Options) *State {
	s := &State{
		log: log, now: now, vms: fleet.NewTable(), targets: dispatch.New(opts), record: updates.NewRecord(),
		evacuated: make(map[string]bool), relistDeadlines: make(map[string]time.Time), suspects: updates.NewSuspects(),
		quarantine: quarantine.NewRecord(), demand: updates.NewDemand(),
		waiting: make(map[waitKey]*waitList), shares: make(map[string]*waitqueue.Shares),
	}
	s.targets.SetReturnedAt(s.record.ReturnedAt)
	return s
}

// Tick updates the targets if anything that they depend on has changed, and
// returns the requests whose answers may not go on.
func (s *State) Tick() []dispatch.Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, deadline := range s.relistDeadlines {
		if !now.Before(deadline) {
			delete(s.relistDeadlines, id)
			s.log.Info("VM no longer listed", "endpoint", id, "after", "outage")
			s.vms.Unlist(now, id)
		}
	}
	s.settleRestored(now)
	s.vms.Sweep(now)
	s.settleAddresses(now)
	s.tickQuarantine(now)
	s.demand.Count(now, s.traffic.Load())
	s.targets.SetDemandShare(s.demand.Share(now))
	if !s.hasLocalPeerUpdates(now) {
		s.targets.SetReportedBroken(nil)
	}
	if s.cat == nil || !s.targetsOutdated && s.updatedChanges == s.vms.Changes() && now.Sub(s.targetsUpdatedAt) < maxUpdateInterval {
		return nil
	}
	s.targetsUpdatedAt, s.updatedChanges, s.targetsOutdated = now, s.vms.Changes(), false
	return s.targets.Update(now, s.vms, s.cat, s.evacuated)
}

// maxUpdateInterval is the longest time between updates of the targets. They are
// updated even without changes because some of their conditions depend on time
// alone.
const maxUpdateInterval = 150 * time.Millisecond

// Locked calls f with the node's state while the state is locked. f must not
// block.
func (s *State) Locked(f func(st LockedState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f(LockedState{
		Now: now, VMs: s.vms, Targets: s.targets, Catalog: s.cat, Evacuated: s.evacuated, Listed: s.listed,
		HasPeerUpdates: s.hasPeerUpdates(now), HasLocalPeerUpdates: s.hasLocalPeerUpdates(now), Suspects: s.suspects,
		Quarantine: s.quarantine,
	})
}

// LockedState gives access to a node's state. It may be used only inside the
// function passed to State.Locked.
type LockedState struct {
	Now       time.Time
	VMs       *fleet.Table
	Targets   *dispatch.Table
	Catalog   *catalog.Catalog // nil if none has been received yet
	Evacuated map[string]bool
	Listed    bool // the list of VMs has been received
	// HasPeerUpdates reports whether a peer provides reports of endpoint VMs.
	HasPeerUpdates bool
	// HasLocalPeerUpdates reports whether a peer in the same data centre does.
	HasLocalPeerUpdates bool
	Suspects            *updates.Suspects
	Quarantine          *quarantine.Record
}

// View returns the newest catalog received, or nil if there is none.
func (s *State) View() *View { return s.view.Load() }

// Traffic returns the number of requests so far.
func (s *State) Traffic() int64 { return s.traffic.Load() }

// pick chooses a target for a request. cancel is called if that target is lost, and
// doubt each time that it may be.
func (s *State) pick(q dispatch.Query, cancel func(dispatch.LossReason), doubt func(*dispatch.Ticket, dispatch.LossReason)) (*dispatch.Ticket, *dispatch.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pickLocked(s.now(), q, cancel, doubt)
}

// pickLocked chooses a target like pick. The state must be locked.
func (s *State) pickLocked(now time.Time, q dispatch.Query, cancel func(dispatch.LossReason), doubt func(*dispatch.Ticket, dispatch.LossReason)) (*dispatch.Ticket, *dispatch.Refusal) {
	if refusal := s.checkQuarantine(now, q); refusal != nil {
		return nil, refusal
	}
	ticket, refusal := s.targets.Pick(now, q)
	if ticket != nil {
		ticket.Cancel = cancel
		ticket.Doubt = func(reason dispatch.LossReason) { doubt(ticket, reason) }
	}
	return ticket, refusal
}

// canRepeat reports whether a request can be sent to another endpoint now.
func (s *State) canRepeat(q dispatch.Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.CanRepeat(s.now(), q)
}

// typicalLatency returns the typical time until an endpoint's response begins.
func (s *State) typicalLatency(service, model string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.MeanFirstByteTime(service, model)
}

func (s *State) finish(t *dispatch.Ticket, outcome dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.targets.Done(now, t, outcome)
	s.recordOutcome(now, t, outcome)
}

// hasEnded reports whether the VM that ran the request of a ticket has ended.
func (s *State) hasEnded(t *dispatch.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Ended(t)
}

func (s *State) recordProgress(t *dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.targets.RecordProgress(now, t)
	if !t.Proven && now.Sub(t.BegunAt) >= provenAfter {
		s.recordProven(now, t)
	}
}

// pause records that the endpoint of a ticket asked for a pause of d. It returns
// the pause that is applied.
func (s *State) pause(t *dispatch.Ticket, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Pause(s.now(), t, d)
}

// markLeaving records that the endpoint of a ticket has announced that it is
// leaving. It reports whether this was not known before.
func (s *State) markLeaving(t *dispatch.Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.MarkLeaving(s.now(), t)
}

// setLimit records the requests a second that the endpoint of a ticket takes, 0 if
// it named no limit. It reports whether that has changed.
func (s *State) setLimit(t *dispatch.Ticket, perSecond float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.SetLimit(s.now(), t, perSecond)
}

func (s *State) countRequest(service string) {
	s.traffic.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.CountRequest(s.now(), service)
}
