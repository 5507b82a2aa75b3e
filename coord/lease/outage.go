package lease

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// outageState is what decides how often this candidate reads the row in an outage of
// the store.
type outageState struct {
	// peersAt is when other nodes last answered, and isReader whether this node reads
	// for them.
	peersAt  time.Time
	isReader bool
	// failedAt is when the last read failed, or zero if it succeeded.
	failedAt time.Time
	// random places the next read within its interval.
	random float64
	rng    *rand.Rand
	// waitsFrom is the takeoverAt for which random was drawn.
	waitsFrom time.Time
}

// newOutageState returns a state whose random numbers differ between candidates with
// equal seeds.
func newOutageState(opts Options) outageState {
	h := fnv.New64a()
	h.Write([]byte(opts.VM))
	return outageState{rng: rand.New(rand.NewPCG(opts.Seed, h.Sum64()))}
}

const (
	// unspreadCandidates is the number of candidates up to which each one reads at
	// PollEvery in an outage.
	unspreadCandidates = 12
	// outageReaders is the number of candidates that read at PollEvery in an outage,
	// and outageTurn how long they do so before it is the turn of the next ones, in
	// case that they are gone. A takeover needs two or three of their reads.
	outageReaders = 4
	outageTurn    = 2 * time.Second
	// outageReadsPerSecond are the reads of all other candidates together. The
	// holder, a node that reads for others and outageReaders add 11 a second at a
	// PollEvery of 700 ms and a RetryEvery of 300 ms, so that 15 of the 20 allowed
	// are used on average.
	outageReadsPerSecond = 4
	// peersAnswerPeriod is how long PeersAnswer counts. With the 700 ms for which
	// answers count, a node that is cut off reads again at PollEvery within 1 s.
	peersAnswerPeriod = 250 * time.Millisecond
)

// isReadDeferred reports whether a read that is due has to wait, because so many
// candidates would read in an outage of the store.
func (m *Machine) isReadDeferred(now time.Time) bool {
	if !m.isLarge() || m.mustRead() {
		return false
	}
	o := &m.outage
	if m.isOutageReader(now) {
		return !o.failedAt.IsZero() && now.Before(o.failedAt.Add(m.opts.PollEvery))
	}
	interval := time.Second * time.Duration(len(m.observedRow.row.Candidates)) / outageReadsPerSecond
	if !o.failedAt.IsZero() {
		return now.Before(o.failedAt.Add(jitter(interval, o.random)))
	}
	due := m.observedRow.takeoverAt
	if now.Before(due) {
		return false
	}
	if !due.Equal(o.waitsFrom) {
		o.waitsFrom, o.random = due, o.rng.Float64()
	}
	return now.Before(due.Add(time.Duration(o.random * float64(interval))))
}

// isLarge reports whether there are so many candidates that they don't each read in
// an outage.
func (m *Machine) isLarge() bool { return len(m.observedRow.row.Candidates) > unspreadCandidates }

// havePeersAnswered reports whether other nodes answer this one.
func (m *Machine) havePeersAnswered(now time.Time) bool {
	return !m.outage.peersAt.IsZero() && now.Sub(m.outage.peersAt) < peersAnswerPeriod
}

// leavesReadsToOthers reports whether requests of other nodes for the row don't bring
// this candidate's reads forward, because it gets the row from the reader as they do.
func (m *Machine) leavesReadsToOthers(now time.Time) bool {
	return m.isLarge() && m.havePeersAnswered(now) && !m.outage.isReader
}

// mustRead reports whether this candidate reads as often in an outage as at any time.
func (m *Machine) mustRead() bool {
	return !m.observedRow.hasRead || m.isOwnRow() || m.isSuccessor() || m.stopping || m.attempts.hasUnsettled()
}

// isOutageReader reports whether this candidate reads at PollEvery in an outage: it
// is its turn, it reads for others, or no other node answers it. Turns follow the
// order of the row from its holder on, which may have died, and begin when the row may
// be taken over.
func (m *Machine) isOutageReader(now time.Time) bool {
	if m.outage.isReader || !m.havePeersAnswered(now) {
		return true
	}
	row := &m.observedRow.row
	own := slices.IndexFunc(row.Candidates, func(c Candidate) bool { return c.VM == m.opts.VM })
	if own < 0 {
		return false
	}
	holder := slices.IndexFunc(row.Candidates, func(c Candidate) bool { return c.VM == row.Holder })
	n := len(row.Candidates)
	rank := (own - holder - 1 + n) % n
	turns := (n + outageReaders - 1) / outageReaders
	turn := int(max(0, now.Sub(m.observedRow.takeoverAt))/outageTurn) % turns
	return rank/outageReaders == turn
}

// jitter returns a time of a quarter around d for a random number in [0, 1).
func jitter(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*random))
}
