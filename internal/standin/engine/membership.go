package engine

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// membership is the engine's place in a group.
type membership struct {
	vm            string
	checksFencing bool
	loadTime      time.Duration

	mu          sync.Mutex
	incarnation string
	state       member.State
	readyAt     time.Time
	joined      member.Order // the order that the engine has joined by
	fence       member.Fence
	orders      uint64
	fenced      uint64
	// life ends when the engine leaves its group or starts anew; running
	// requests end with it.
	life    context.Context
	endLife context.CancelFunc
}

func newMembership(opts Options) *membership {
	m := &membership{vm: opts.VM, checksFencing: opts.ChecksFencing, loadTime: opts.LoadTime}
	m.restart()
	return m
}

// restart gives the engine a new incarnation without any memory.
func (m *membership) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation = uuid.NewString()
	m.fence = member.Fence{}
	m.leave()
}

// leave makes the engine idle. The caller holds mu.
func (m *membership) leave() {
	if m.endLife != nil {
		m.endLife()
	}
	m.life, m.endLife = context.WithCancel(context.Background())
	m.state = member.Idle
	m.joined = member.Order{}
}

// order carries an order out. It returns false if the order is fenced off;
// loaded says that the engine began to load weights.
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

// join begins to load for a group. A repeated order changes nothing. The
// caller holds mu.
func (m *membership) join(o member.Order) (loaded bool) {
	same := m.state != member.Idle && m.joined.Group == o.Group && m.joined.Generation == o.Generation &&
		m.joined.Model == o.Model && m.joined.Rank == o.Rank
	if same {
		return false
	}
	m.leave()
	m.joined = o
	m.state = member.Loading
	m.readyAt = time.Now().Add(m.loadTime)
	return true
}

// report is the engine's account of its membership.
func (m *membership) report() member.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == member.Loading && !time.Now().Before(m.readyAt) {
		m.state = member.Ready
	}
	return member.Report{
		VM: m.vm, Incarnation: m.incarnation, State: m.state, Fence: m.fence,
		Group: m.joined.Group, Generation: m.joined.Generation, Model: m.joined.Model, Rank: m.joined.Rank,
	}
}

// running returns a context that ends with the present membership.
func (m *membership) running() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

func (m *membership) orderCounts() (orders, fenced uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orders, m.fenced
}
