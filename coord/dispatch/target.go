package dispatch

import (
	"time"

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

	tickets map[*Ticket]struct{}
	// others is the work of other nodes as of the newest report.
	others   int
	reported time.Time
	pace     float64
	cold     coldRate
	health   health
}

// Ticket is one request at a target.
type Ticket struct {
	Target *Target
	// Cancel is called by the embedding program's owner of the ticket when
	// the target is lost.
	Cancel func()
	// ProgressAt is when the request was sent or last brought bytes.
	ProgressAt time.Time
	// Begun is whether it has brought any.
	Begun  bool
	sentAt time.Time
}

// Inflight is the number of this node's requests at the target.
func (t *Target) Inflight() int { return len(t.tickets) }

// load is the predicted number of requests at the target.
func (t *Target) load() int { return len(t.tickets) + t.others }

// observe takes in what the VM reports of its work.
func (t *Target) observe(vm *fleet.VM) {
	if !vm.HeardAt.After(t.reported) {
		return
	}
	t.reported = vm.HeardAt
	own := 0
	for ticket := range t.tickets {
		if ticket.sentAt.Before(vm.HeardAt) {
			own++
		}
	}
	t.others = max(0, vm.Running+vm.Waiting-own)
	t.pace = max(1, vm.Pace)
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
