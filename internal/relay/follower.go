// Package relay carries news of the platform between entry VMs, so that few of
// them read there.
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

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/relay/relaypb"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Listener takes in what other nodes tell.
type Listener interface {
	// Position is what is known already.
	Position() news.Position
	// ApplyAnswer takes a node's answer in. asked is when the question was sent.
	ApplyAnswer(asked time.Time, from news.Node, a news.Answer)
	// ClearPeerUpdates says that no node is left to ask.
	ClearPeerUpdates()
	// IsPlatformUnreachable reports whether the platform does not answer this node.
	IsPlatformUnreachable() bool
}

// Options set up a Follower.
type Options struct {
	// VM, DataCentre and Address are this node's own.
	VM, DataCentre, Address string
	// Every is the interval between questions, Timeout bounds an answer.
	Every, Timeout time.Duration
	// MaxAge is the age of an answer from which it's better to read from the
	// platform oneself, if it can be read.
	MaxAge  time.Duration
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Follower asks another node, if there is one to ask, what is new.
type Follower struct {
	opts     Options
	listener Listener
	http     http.Client

	mu      sync.Mutex
	sources *news.Sources
	// asked is the node that answered last, mark its Answer.Mark, and told the
	// version of VMs that it told.
	asked string
	mark  int64
	told  uint64
}

// NewFollower returns a follower that knows no other node yet.
func NewFollower(opts Options, l Listener) *Follower {
	dialer := &net.Dialer{Timeout: opts.Timeout, KeepAlive: time.Second}
	return &Follower{
		opts: opts, listener: l, sources: news.NewSources(opts.VM, opts.DataCentre),
		http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout}},
	}
}

// idleTimeout is how long a connection to a node is kept that isn't asked.
const idleTimeout = 30 * time.Second

// Set replaces the nodes that are known.
func (f *Follower) Set(nodes []news.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Set(nodes)
}

// AddRequester takes in a node that has asked this one.
func (f *Follower) AddRequester(n news.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.AddRequester(n)
}

// IsReader reports whether this node asks no other as long as it can read from
// the platform itself.
func (f *Follower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.IsReader()
}

// Run asks until the context ends.
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

// ask asks one node after another until one knows enough.
func (f *Follower) ask(ctx context.Context) {
	unreadable := f.listener.IsPlatformUnreachable()
	for ctx.Err() == nil {
		f.mu.Lock()
		n, ok := f.sources.Next(boottime.Now(), unreadable)
		f.mu.Unlock()
		if !ok {
			f.listener.ClearPeerUpdates()
			f.turn("", news.Answer{})
			return
		}
		a, err := f.askOne(ctx, n, unreadable)
		f.count(err)
		if err == nil {
			f.turn(n.VM, a)
			return
		}
		f.opts.Log.Info("node does not tell", "node", n.VM, "error", err)
		f.mu.Lock()
		f.sources.Failed(boottime.Now(), n.VM)
		f.mu.Unlock()
	}
}

func (f *Follower) count(err error) {
	outcome := "told"
	if err != nil {
		outcome = "passed over"
	}
	telemetry.Counter(f.opts.Metrics, "told_answers_total", "outcome", outcome).Inc(1)
}

// turn notes whom this node relies on, and its answer. Nobody means that it
// reads itself.
func (f *Follower) turn(vm string, a news.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm != "" {
		f.sources.Answered(vm)
	}
	if vm != f.asked {
		f.told = 0
	}
	f.mark = a.Mark
	if a.VMs != nil {
		f.told = a.VMs.Version
	}
	if vm == f.asked {
		return
	}
	f.opts.Log.Info("relies on another node", "node", vm, "before", f.asked)
	f.asked = vm
}

// request returns the question of a node that has what the position says.
func (f *Follower) request(p news.Position) *relaypb.AskRequest {
	req := &relaypb.AskRequest{
		Vm: f.opts.VM, DataCentre: f.opts.DataCentre, Address: f.opts.Address,
		Operators: p.Operators, Vms: p.VMs, Reports: p.Mark, Lease: p.Lease, Told: p.ReceivedVMs,
	}
	for _, s := range p.Suspects {
		req.Suspects = append(req.Suspects, &relaypb.Suspect{Vm: s.VM, AgeNs: s.Age.Nanoseconds()})
	}
	return req
}

func (f *Follower) askOne(ctx context.Context, n news.Node, unreadable bool) (a news.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	position := f.listener.Position()
	if n.VM == f.asked {
		position.Mark, position.ReceivedVMs = f.mark, f.told
	}
	asked := boottime.Now()
	client := relaypb.NewRelayProtobufClient("http://"+n.Address, &f.http)
	resp, err := client.Ask(ctx, f.request(position))
	if err != nil {
		return a, errors.Trace(err)
	}
	if err := json.Unmarshal(resp.Answer, &a); err != nil {
		return a, errors.Annotate(err, "reading its answer")
	}
	if !a.Known {
		return a, errors.New("it has read nothing yet")
	}
	if a.Borrowed {
		return a, errors.New("it can't read from the platform itself")
	}
	if age := max(a.OperatorsAge, a.VMsAge); age > f.opts.MaxAge && !unreadable {
		return a, fmt.Errorf("it last read %s ago", age)
	}
	f.listener.ApplyAnswer(asked, n, a)
	return a, nil
}
