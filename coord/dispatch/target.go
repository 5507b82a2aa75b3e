package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Target is an endpoint that may get requests.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Service    string
	// Model and Group are empty for a plain server.
	Model string
	Group string
	Epoch uint64
	Born  int64
	Slots int
	// Members are the IDs of a group's VMs.
	Members []string
	// leaving is whether one of its VMs is about to end, outdated whether one
	// runs an older release than others, so that it may soon be replaced.
	leaving, outdated bool
	pause             pause
	// progressAt is when one of this node's requests last brought bytes.
	progressAt time.Time

	tickets map[*Ticket]struct{}
	// others is the work of other nodes as of the newest report.
	others   int
	reported time.Time
	// allowed is how many requests this node may have at a group's head
	// until the next report.
	allowed int
	history history
	pace    float64
	cold    coldRate
	health  health
}

// Ticket is one request at a target.
type Ticket struct {
	Target *Target
	// Cancel ends the request. The embedding program sets it, and calls it
	// when the target is lost.
	Cancel func()
	// ProgressAt is when the request was sent or last brought bytes.
	ProgressAt time.Time
	// Begun is whether it has brought any.
	Begun bool
	// reading is the request's prompt against the mean, until it has begun.
	reading float64
	// Load is the number of requests predicted at the target beside this one.
	Load   int
	sentAt time.Time
	born   int64 // start of the VM that runs it
}

// own is the work of this node's requests at the target: each counts as one,
// and more while its prompt has to be read.
func (t *Target) own() float64 {
	work := 0.0
	for ticket := range t.tickets {
		work++
		if !ticket.Begun {
			work += readingWeight * ticket.reading
		}
	}
	return work
}

// readingWeight is the weight of reading a prompt of mean length against that
// of a request that is being answered.
const readingWeight = 1.0

// progressed reports whether a request of this node has lately made progress.
func (t *Target) progressed(now time.Time) bool { return now.Sub(t.progressAt) < progressFor }

// progressFor is how long progress shows that a group is whole.
const progressFor = 500 * time.Millisecond

// load is the predicted number of requests at the target.
func (t *Target) load() int { return len(t.tickets) + t.others }

// observe takes in what the VM reports of its work as of lag before the report.
// What is free is divided over the nodes, so that together they don't send
// more than the VM runs at once; what is too much is given back in proportion.
func (t *Target) observe(vm *fleet.VM, lag time.Duration, nodes, rank int) {
	if !vm.ReportedAt.After(t.reported) {
		return
	}
	t.reported = vm.ReportedAt
	own := t.history.at(vm.ReportedAt.Add(-lag))
	total := max(own, vm.Running+vm.Waiting)
	t.others = total - own
	t.pace = max(1, vm.Pace)
	room := t.Slots - total
	if room >= 0 {
		part := float64(room) * min(1, roomShare/float64(nodes))
		t.allowed = own + t.round(part, uint64(vm.ReportedAt.UnixNano()/int64(reportEvery)), rank)
		return
	}
	t.allowed = max(1, own*t.Slots/total)
}

// round rounds a node's part up or down by lot, so that many nodes together
// take about the sum of their parts, also where each part is below one. The
// lots change with the seed, and differ from node to node.
func (t *Target) round(part float64, seed uint64, rank int) int {
	whole := math.Floor(part)
	lot := spread(xxhash.Sum64String(t.ID)^seed, rank)
	if lot < part-whole {
		whole++
	}
	return int(whole)
}

// reportEvery is about the time between two reports.
const reportEvery = 500 * time.Millisecond

// roomShare is how much more than its even part of the free places a node may
// take until the next report.
const roomShare = 1.5

// add and remove count a ticket.
func (t *Target) add(now time.Time, ticket *Ticket) {
	t.tickets[ticket] = struct{}{}
	t.history.note(now, len(t.tickets))
}

func (t *Target) remove(now time.Time, ticket *Ticket) {
	delete(t.tickets, ticket)
	t.history.note(now, len(t.tickets))
}

// history remembers how many requests this node had at a target.
type history struct {
	notes []historyNote
}

type historyNote struct {
	at time.Time
	n  int
}

// historyKept is longer than a report's lag and way.
const historyKept = time.Second

func (h *history) note(now time.Time, n int) {
	old := 0
	for old+1 < len(h.notes) && now.Sub(h.notes[old+1].at) > historyKept {
		old++
	}
	h.notes = append(h.notes[:0], h.notes[old:]...)
	h.notes = append(h.notes, historyNote{now, n})
}

// at returns the number as of a time.
func (h *history) at(t time.Time) int {
	for i := len(h.notes) - 1; i >= 0; i-- {
		if !h.notes[i].at.After(t) {
			return h.notes[i].n
		}
	}
	return 0
}

// health follows the outcomes of requests.
type health struct {
	// failures is the recent share of failed requests, 0 to 1.
	failures float64
	// avoidUntil is when the target may be tried again.
	avoidUntil time.Time
	// inRow counts failures without a success between them.
	inRow int
}

const (
	failureWeight = 0.1 // of the newest outcome in the share of failures
	avoidFirst    = 300 * time.Millisecond
	avoidMost     = 3 * time.Second
	avoidAfter    = 2 // failures in a row
)

func (h *health) succeeded() {
	h.failures *= 1 - failureWeight
	h.inRow = 0
	h.avoidUntil = time.Time{}
}

func (h *health) failed(now time.Time) {
	h.failures += (1 - h.failures) * failureWeight
	h.inRow++
	if h.inRow >= avoidAfter {
		pause := min(avoidFirst<<min(h.inRow-avoidAfter, 8), avoidMost)
		h.avoidUntil = now.Add(pause)
	}
}

// coldRate counts the requests sent to a cold target within a second.
type coldRate struct {
	sent []time.Time
}

func (c *coldRate) take(now time.Time) { c.sent = append(c.sent, now) }

func (c *coldRate) within(now time.Time, most int) bool {
	keep := c.sent[:0]
	for _, at := range c.sent {
		if now.Sub(at) < coldWindow {
			keep = append(keep, at)
		}
	}
	c.sent = keep
	return len(c.sent) < most
}

// coldWindow is a little more than the second that the bound holds for, since
// requests may be delayed differently on their way.
const coldWindow = 1100 * time.Millisecond
