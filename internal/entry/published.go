package entry

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/watch"
)

var _ watch.Observer = (*State)(nil)

// Operators implements watch.Observer.
func (s *State) Operators(asOf time.Time, n updates.Operators) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOperators(asOf, n)
	if n.Whole && s.cat != nil {
		s.rereadVersion = s.cat.Version
	}
}

// applyOperators applies settings of the operators that were read from the
// platform or received from a peer. s.mu must be held.
func (s *State) applyOperators(asOf time.Time, n updates.Operators) {
	if n.Catalog != nil && !s.isValid(n.Catalog) {
		n.Catalog, n.Unusable = nil, updates.NewUnusable(n.Catalog.Version, n.Catalog.AccountsAlone())
	}
	if !s.record.PutOperators(s.now(), n) {
		s.setCatalog(time.Time{}) // keeps the age that the configuration has here
		return
	}
	s.targetsOutdated = true
	s.setEvacuated(s.record.Evacuated())
	s.logUnusable()
	if s.record.KeysUncertain() && s.view.Load() != nil {
		asOf = time.Time{} // the configuration here is no longer known to be the newest
	}
	s.setCatalog(asOf)
}

// logUnusable warns once of each configuration that can't be used. s.mu must be held.
func (s *State) logUnusable() {
	u := s.record.Unusable()
	if u == nil || u.Version == s.unusableVersion {
		return
	}
	s.unusableVersion = u.Version
	s.log.Warn("configuration can't be used: the last good one stays in force", "version", u.Version,
		"accounts_readable", !u.AccountsUnknown, "keys_uncertain", s.record.KeysUncertain())
}

// isValid reports whether a configuration may come into force.
func (s *State) isValid(c *catalog.Catalog) bool {
	if err := c.Validate(); err != nil {
		s.log.Warn("configuration refused", "version", c.Version, "error", err)
		return false
	}
	return true
}

// setCatalog puts the record's configuration in force as of a time, or as of that of
// the one before if that is later. s.mu must be held.
func (s *State) setCatalog(asOf time.Time) {
	old := s.view.Load()
	if old != nil && old.AsOf.After(asOf) {
		asOf = old.AsOf
	}
	if c := s.record.Catalog(); c != s.cat {
		s.log.Info("configuration in force", "version", c.Version, "read_age", s.now().Sub(asOf), "keys", c.Keys(), "valid_keys", c.KeyCount())
		s.logKeys(c)
		s.cat, s.targetsOutdated = c, true
		s.vms.SetServices(s.now(), c.NamesService)
	}
	if s.cat == nil || asOf.IsZero() && old == nil {
		return
	}
	s.view.Store(&View{Catalog: s.cat, AsOf: asOf})
}

// logKeys warns of a configuration that changes whether requests need a key, or under
// which all that need one are refused. s.mu must be held.
func (s *State) logKeys(c *catalog.Catalog) {
	if s.cat != nil && s.cat.Keys() != c.Keys() {
		s.log.Warn("rule for keys changed", "version", c.Version, "keys", c.Keys(), "keys_before", s.cat.Keys(),
			"valid_keys", c.KeyCount(), "valid_keys_before", s.cat.KeyCount())
	}
	if c.Keys() == catalog.KeysRequired && c.KeyCount() == 0 {
		s.log.Warn("no key is valid: only public routes are served", "version", c.Version)
	}
}

// setEvacuated replaces the set of evacuated data centres, which receive no
// requests. s.mu must be held.
func (s *State) setEvacuated(evacuated map[string]bool) {
	for dc := range s.evacuated {
		if !evacuated[dc] {
			s.log.Info("evacuation changed", "data_centre", dc, "out", false)
		}
	}
	for dc := range evacuated {
		if !s.evacuated[dc] {
			s.log.Info("evacuation changed", "data_centre", dc, "out", true)
		}
	}
	s.evacuated = evacuated
}

// VMs implements watch.Observer.
func (s *State) VMs(asOf time.Time, n updates.VMs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readFailedAt, s.readAt = time.Time{}, asOf
	if s.spreadsReads && s.listed && asOf.Sub(s.listedAsOf) > outageAge {
		s.vmReadFailing = true // peers had no list in an outage, and this node didn't read
	}
	s.applyVMs(asOf, n)
}

// outageAge is the age of the list of VMs above which a node whose reads are spread
// out takes the next one for the first after an outage, during which rows may have
// lapsed. It is twice the age up to which peers' data count as fresh.
const outageAge = 2 * time.Second

// applyVMs applies rows of VMs that were read from the platform or received from
// a peer. s.mu must be held.
func (s *State) applyVMs(asOf time.Time, n updates.VMs) {
	now := s.now()
	if s.vmReadFailing {
		s.vmReadFailing = false
		s.vmReadRecoveredAt = now
		s.log.Info("list of VMs regained", "version", n.Version)
	}
	before := s.record.Position().VMs
	n, ok := s.record.PutVMs(now, n)
	if !ok {
		return
	}
	if era := n.Era; before.Version > 0 && era > before.Era {
		s.vmReadRecoveredAt = now
		s.log.Warn("list of VMs of a restored platform", "era", era, "version", n.Version, "era_before", before.Era, "version_before", before.Version)
	}
	if asOf.After(s.listedAsOf) {
		s.listedAsOf = asOf
	}
	s.applyRows(now, n)
	s.listed = true
}

// applyRows applies rows of VMs to the table. s.mu must be held.
func (s *State) applyRows(now time.Time, n updates.VMs) {
	present := make(map[string]bool, len(n.Rows))
	for _, row := range n.Rows {
		present[row.ID] = true
		delete(s.relistDeadlines, row.ID)
		s.list(now, row)
	}
	for _, id := range n.Removed {
		s.unlist(now, id)
	}
	if n.Whole {
		for _, vm := range s.vms.All() {
			if vm.Registered && !present[vm.ID] {
				s.unlist(now, vm.ID)
			}
		}
	}
}

// list applies a row of a VM. s.mu must be held.
func (s *State) list(now time.Time, row fleet.Row) {
	before := s.vms.Get(row.ID)
	unlisted := before != nil && !before.Listed
	if s.vms.ApplyRow(now, row) {
		s.log.Info("VM started", "endpoint", row.ID, "born", row.Born, "service", row.Service)
	}
	if unlisted && before.Listed {
		s.log.Info("VM listed again", "endpoint", row.ID, "service", row.Service)
	}
}

// unlist removes a VM from the list. Within updates.RelistGrace after an outage of
// the platform, during which rows may have lapsed, the removal is deferred to the end
// of that period. s.mu must be held.
func (s *State) unlist(now time.Time, id string) {
	if now.Sub(s.vmReadRecoveredAt) < updates.RelistGrace && !s.vmReadRecoveredAt.IsZero() {
		if _, pending := s.relistDeadlines[id]; !pending {
			s.relistDeadlines[id] = s.vmReadRecoveredAt.Add(updates.RelistGrace)
		}
		return
	}
	s.log.Info("VM no longer listed", "endpoint", id)
	s.vms.Unlist(now, id)
}

// settleAddresses gives VMs whose address others claim falsely their addresses back, and
// logs which VM has lost or regained its address. s.mu must be held.
func (s *State) settleAddresses(now time.Time) {
	if !s.vmReadFailing && now.Sub(s.vmReadRecoveredAt) >= fleet.MaxStaleRow {
		s.vms.KeepAddresses(now, s.listedAsOf)
	}
	for _, c := range s.vms.AddressChanges() {
		if c.Holder == "" || c.Holder == c.VM {
			s.log.Info("endpoint has its address again", "endpoint", c.VM, "address", c.Address)
			continue
		}
		s.log.Info("another endpoint has the address", "endpoint", c.VM, "address", c.Address, "holder", c.Holder)
	}
}

// ReadFailed implements watch.Observer.
func (s *State) ReadFailed(what string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Warn("platform read failed", "what", what, "error", err)
	if what == "VMs" {
		s.vmReadFailing = true
		s.readFailedAt = s.now()
	}
}

// settleRestored applies what is due a while after the platform came back from an
// older copy. s.mu must be held.
func (s *State) settleRestored(now time.Time) {
	changes, evacuations := s.record.Settle(now)
	if len(changes.Rows)+len(changes.Removed) > 0 {
		s.applyRows(now, changes)
	}
	if evacuations {
		s.setEvacuated(s.record.Evacuated())
		s.targetsOutdated = true
	}
}
