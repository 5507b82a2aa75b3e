// Package relay distributes platform updates between entry VMs, so that only a
// few of them have to read from the platform.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/httpstatus"
	"github.com/pimentoshore/pimentoshore/internal/relay/relaypb"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Listener receives the updates that a Follower fetches from other nodes.
type Listener interface {
	// Position returns the position up to which this node has updates.
	Position() updates.Position
	// ApplyAnswer applies an answer of another node. asked is when the request
	// was sent, on the clock of package boottime.
	ApplyAnswer(asked time.Time, from updates.Node, a updates.Answer)
	// ClearPeerUpdates is called when no node is left to ask, so that this node
	// has to read from the platform itself.
	ClearPeerUpdates()
	// IsPlatformUnreachable reports whether this node can't read from the platform.
	IsPlatformUnreachable() bool
}

// Options configures a Follower.
type Options struct {
	// VM, DataCentre and Address describe this node to the nodes that it asks.
	VM, DataCentre, Address string
	// Every is the interval between requests and Timeout the limit for one request.
	Every, Timeout time.Duration
	// MaxAge is the maximum age of the data in an answer. An older answer is
	// rejected, unless this node can't read from the platform.
	MaxAge time.Duration
	// SpreadReads is whether the nodes of a large fleet share the reads of the platform
	// in an outage. Without it, each one reads on its own schedule.
	SpreadReads bool
	// ReadsPlatform reports whether this node's own reads of the platform succeed.
	// Such a node uses only fresh answers. Without it, none does.
	ReadsPlatform func() bool
	Log           *slog.Logger
	Metrics       metrics.Registry
}

// Follower polls another node for updates, if there is one that may be asked. It
// is safe for concurrent use, with one Run.
type Follower struct {
	opts     Options
	listener Listener
	http     http.Client

	mu      sync.Mutex
	sources *updates.Sources
	// source is the VM of the node that updates come from, empty if there is none.
	// sourceMark is the Mark of its last answer and sourceVMs the revision of the
	// last list of VMs that it sent.
	source     string
	sourceMark int64
	sourceVMs  updates.Revision
	// answeredAt is when another node last answered with data of any age, and
	// freshAt when one did with fresh data.
	answeredAt, freshAt time.Time
}

// NewFollower returns a follower without other nodes; see Set.
func NewFollower(opts Options, l Listener) *Follower {
	dialer := &net.Dialer{Timeout: opts.Timeout, KeepAlive: time.Second}
	return &Follower{
		opts: opts, listener: l, sources: updates.NewSources(opts.VM, opts.DataCentre),
		http: http.Client{Transport: bodylimit.NewTransport(httpstatus.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: bodylimit.MaxHead,
		}), maxAnswerBytes, maxAnswerBytes)},
	}
}

// maxAnswerBytes limits an answer of another node. One is asked at a time.
const maxAnswerBytes = 16 << 20

// idleTimeout is how long an unused connection to a node is kept.
const idleTimeout = 30 * time.Second

// Set replaces the nodes that may be asked.
func (f *Follower) Set(nodes []updates.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Set(nodes)
}

// AddRequester adds a node that has sent a request to this one, as a node to ask.
func (f *Follower) AddRequester(n updates.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.AddRequester(n)
}

// IsReader reports whether this node is the reader: no responding node ranks
// before it. The reader reads from the platform and asks other nodes only while
// the platform is unreachable.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.IsReader()
}

// Run asks for updates at every interval until the context ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(f.opts.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.ask(ctx)
	}
}

// Spread returns what this node's pauses between reads of the platform depend on in
// an outage.
func (f *Follower) Spread() updates.Spread {
	if !f.opts.SpreadReads {
		return updates.Spread{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	return f.sources.Spread(isRecent(f.answeredAt, now), isRecent(f.freshAt, now))
}

// answerTTL is how long an answer counts. A node that no other one answers any more
// returns to its own schedule of reads after this time.
const answerTTL = 700 * time.Millisecond

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < answerTTL }

// Relays reports whether answers of a node may be passed on as this node's own while
// it can't read from the platform.
func (f *Follower) Relays(n updates.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.SpreadReads && f.sources.Spread(false, false).IsLarge() && f.sources.Precedes(n)
}

// ask asks one node after another until one returns a usable answer. If none
// does, it tells the listener so.
func (f *Follower) ask(ctx context.Context) {
	platformDown := f.listener.IsPlatformUnreachable()
	if f.Spread().IsLarge() && (f.opts.ReadsPlatform == nil || !f.opts.ReadsPlatform()) {
		f.askForFresh(ctx, platformDown)
		return
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		n, ok := f.sources.Next(boottime.Now(), platformDown)
		f.mu.Unlock()
		if !ok {
			f.clear()
			return
		}
		asked := boottime.Now()
		a, err := f.askOne(ctx, n)
		if err == nil {
			err = f.check(a, platformDown)
		}
		f.countOutcome(err)
		if err == nil {
			f.use(asked, n, a)
			return
		}
		f.handleFailure(n, err)
	}
}

// askForFresh asks one node after another as updates.Round says. Without fresh data,
// it uses the first answer.
func (f *Follower) askForFresh(ctx context.Context, platformDown bool) {
	f.mu.Lock()
	round := f.sources.NewRound(boottime.Now(), platformDown, isRecent(f.freshAt, boottime.Now()))
	f.mu.Unlock()
	var old struct {
		answer updates.Answer
		from   updates.Node
		asked  time.Time
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		n, ok := round.Next()
		f.mu.Unlock()
		if !ok {
			break
		}
		asked := boottime.Now()
		a, err := f.askOne(ctx, n)
		if err != nil {
			f.countOutcome(err)
			f.handleFailure(n, err)
			continue
		}
		err = f.check(a, false)
		f.countOutcome(err)
		if err == nil {
			f.use(asked, n, a)
			return
		}
		round.RecordOld(n.VM)
		if old.from.VM == "" {
			old.answer, old.from, old.asked = a, n, asked
		}
	}
	if old.from.VM == "" {
		f.clear()
		return
	}
	f.use(old.asked, old.from, old.answer)
}

// clear records that no node answers.
func (f *Follower) clear() {
	f.listener.ClearPeerUpdates()
	f.setSource("", updates.Answer{})
}

// use passes an answer to the listener.
func (f *Follower) use(asked time.Time, n updates.Node, a updates.Answer) {
	f.listener.ApplyAnswer(asked, n, a)
	if f.check(a, false) == nil {
		f.mu.Lock()
		f.freshAt = boottime.Now()
		f.sources.RecordFresh(n.VM)
		f.mu.Unlock()
	}
	f.setSource(n.VM, a)
}

// handleFailure records that a node gave no usable answer.
func (f *Follower) handleFailure(n updates.Node, err error) {
	f.opts.Log.Info("node does not tell", "node", n.VM, "error", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Failed(boottime.Now(), n.VM)
}

// countOutcome counts an answer in told_answers_total, by whether it was used.
func (f *Follower) countOutcome(err error) {
	outcome := "told"
	if err != nil {
		outcome = "passed over"
	}
	telemetry.Counter(f.opts.Metrics, "told_answers_total", "outcome", outcome).Inc(1)
}

// setSource records the node that updates come from and the versions in its last
// answer. An empty vm means that this node reads from the platform itself.
func (f *Follower) setSource(vm string, a updates.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm != "" {
		f.sources.Answered(vm)
	}
	if vm != f.source {
		f.sourceVMs = updates.Revision{}
	}
	f.sourceMark = a.Mark
	if a.VMs != nil {
		f.sourceVMs = a.VMs.Revision()
	}
	if vm == f.source {
		return
	}
	f.opts.Log.Info("relies on another node", "node", vm, "before", f.source)
	f.source = vm
}

// newRequest returns the request for updates after a position.
func (f *Follower) newRequest(p updates.Position) (*relaypb.AskRequest, error) {
	req := &relaypb.AskRequest{
		Vm: f.opts.VM, DataCentre: f.opts.DataCentre, Address: f.opts.Address,
		Operators: p.Operators.Version, OperatorsEra: p.Operators.Era, Vms: p.VMs.Version, VmsEra: p.VMs.Era,
		Lease: p.Lease.Version, LeaseEra: p.Lease.Era, Told: p.ReceivedVMs.Version, ToldEra: p.ReceivedVMs.Era,
		CatalogVersion: p.CatalogVersion, Reports: p.Mark, Demand: p.Demand,
	}
	for _, s := range p.Suspects {
		req.Suspects = append(req.Suspects, &relaypb.Suspect{Vm: s.VM, AgeNs: s.Age.Nanoseconds()})
	}
	var err error
	if p.Catalog != nil {
		if req.Catalog, err = json.Marshal(p.Catalog); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if !p.Learned.IsEmpty() {
		req.Learned, err = json.Marshal(p.Learned)
	}
	return req, errors.Trace(err)
}

// askOne asks a node for updates. The error says why its answer can't be used at
// all: it failed, has no data, or has data of an earlier era.
func (f *Follower) askOne(ctx context.Context, n updates.Node) (a updates.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	position := f.listener.Position()
	if n.VM == f.source {
		position.Mark, position.ReceivedVMs = f.sourceMark, f.sourceVMs
	}
	req, err := f.newRequest(position)
	if err != nil {
		return a, err
	}
	client := relaypb.NewRelayProtobufClient("http://"+n.Address, &f.http)
	resp, err := client.Ask(ctx, req)
	if err != nil {
		return a, errors.Trace(err)
	}
	if err := json.Unmarshal(resp.Answer, &a); err != nil {
		return a, errors.Annotate(err, "parsing the answer")
	}
	f.mu.Lock()
	f.answeredAt = boottime.Now()
	f.mu.Unlock()
	if !a.Known {
		return a, errors.New("the node has no data of the platform yet")
	}
	if a.Era < position.VMs.Era {
		return a, fmt.Errorf("the node has read nothing yet in era %d of the platform's store", position.VMs.Era)
	}
	return a, nil
}

// check returns why an answer can't replace own reads: the node only passes on data
// of others, or its data are older than MaxAge. While the platform is unreachable,
// data of any age are used.
func (f *Follower) check(a updates.Answer, platformDown bool) error {
	if a.Borrowed {
		return errors.New("the node can't read from the platform itself")
	}
	if age := max(a.OperatorsAge, a.VMsAge); age > f.opts.MaxAge && !platformDown {
		return fmt.Errorf("the node last read from the platform %s ago", age)
	}
	return nil
}
