package engine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// membership is the engine's membership of a group and its control state.
type membership struct {
	vm            string
	checksFencing bool
	loadTime      time.Duration

	mu          sync.Mutex
	incarnation string
	state       member.State
	readyAt     time.Time
	joinOrder   member.Order // the order with which the engine joined
	fence       member.Fence
	orders      uint64
	fenced      uint64
	// ctx ends when the engine leaves its group or restarts. It aborts the
	// running requests.
	ctx    context.Context
	cancel context.CancelFunc
}

func newMembership(opts Options) *membership {
	m := &membership{vm: opts.VM, checksFencing: opts.ChecksFencing, loadTime: opts.LoadTime}
	m.restart()
	return m
}

// restart resets the membership and the fence, under a new incarnation.
func (m *membership) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation = uuid.NewString()
	m.fence = member.Fence{}
	m.leave()
}

// leave makes the engine idle and aborts its running requests. The caller must
// hold mu.
func (m *membership) leave() {
	if m.cancel != nil {
		m.cancel()
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.state = member.Idle
	m.joinOrder = member.Order{}
}

// order carries out an order. accepted is false if the order was refused because
// its fence is too old; loaded reports whether the engine began to load weights.
func (m *membership) order(o member.Order) (accepted, loaded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders++
	old := o.Fence.Before(m.fence)
	if old && m.checksFencing {
		m.fenced++
		return false, false
	}
	if !old {
		m.fence = o.Fence
	}
	switch o.Action {
	case member.Join:
		loaded = m.join(o)
	case member.Leave:
		m.leave()
	}
	return true, loaded
}

// join makes the engine load the model for a group. A repeated order changes
// nothing. The caller must hold mu.
func (m *membership) join(o member.Order) (loaded bool) {
	same := m.state != member.Idle && m.joinOrder.Group == o.Group && m.joinOrder.Generation == o.Generation &&
		m.joinOrder.Model == o.Model && m.joinOrder.Rank == o.Rank
	if same {
		return false
	}
	m.leave()
	m.joinOrder = o
	m.state = member.Loading
	m.readyAt = time.Now().Add(m.loadTime)
	return true
}

// report returns the membership part of the engine's report.
func (m *membership) report() member.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == member.Loading && !time.Now().Before(m.readyAt) {
		m.state = member.Ready
	}
	return member.Report{
		VM: m.vm, Incarnation: m.incarnation, State: m.state, Fence: m.fence,
		Group: m.joinOrder.Group, Generation: m.joinOrder.Generation, Model: m.joinOrder.Model, Rank: m.joinOrder.Rank,
	}
}

// requestContext returns a context that ends with the current membership.
func (m *membership) requestContext() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx
}

func (m *membership) orderCounts() (orders, fenced uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders, m.fenced
}
