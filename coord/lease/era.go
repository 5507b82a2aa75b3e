package lease

import "time"

const (
	// FirstEra is the era of a store that has never come back from an older copy.
	FirstEra = 1
	// termEraBits is the number of bits of a term below those that hold its era, so
	// that no term is given out again after the store has lost some.
	termEraBits = 20
	// reregistrationPeriod is how long candidates of an earlier era may take to
	// register again.
	reregistrationPeriod = 3 * time.Second
)

// previousEra is what is known of the era before the present one.
type previousEra struct {
	// candidates are those of its newest known lease row.
	candidates []Candidate
	endedAt    time.Time
}

// firstTerm returns the first term of an era.
func firstTerm(era uint64) uint64 {
	if era <= FirstEra {
		return 1
	}
	return (era-FirstEra)<<termEraBits + 1
}

// enterEra begins an era that is newer than the present one. Each era has rows of its
// own: a copy's row may name a holder and a term that others have followed. A lease
// that is held lasts as before. Other candidates wait until it has certainly run
// out, also those that know of no earlier era. Promises could extend it beyond that,
// so a table that may come back older needs Options.WithoutPromises.
func (m *Machine) enterEra(now time.Time, era uint64) {
	if era <= m.era {
		return
	}
	known := m.observedRow.hasRead
	m.era = era
	if !known && era <= FirstEra {
		return
	}
	row := m.observedRow.row
	m.previous = previousEra{candidates: row.Candidates, endedAt: now}
	row.Duration = max(row.Duration, m.opts.Duration)
	row.Promise = max(row.Promise, m.opts.Promise)
	row.Released = false
	m.observedRow = rowState{hasRead: known, takeoverAt: m.takeoverTime(now, row)}
	m.attempts = attempts{}
	m.registered = false
	m.read.next = now
}

// withPreviousEra returns the registrations with those of the previous era's
// candidates that may not have registered again yet.
func (m *Machine) withPreviousEra(now time.Time, regs []Registration) []Registration {
	if now.Sub(m.previous.endedAt) >= reregistrationPeriod {
		return regs
	}
	registered := make(map[string]bool, len(regs))
	for _, r := range regs {
		registered[r.VM] = true
	}
	for _, c := range m.previous.candidates {
		if !registered[c.VM] {
			regs = append(regs, Registration{Candidate: c})
		}
	}
	return regs
}
