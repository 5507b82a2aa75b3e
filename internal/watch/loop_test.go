package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/news"
)

// fakeSource answers reads from a script and takes note of what was asked.
type fakeSource struct {
	mu    sync.Mutex
	after []uint64
	waits []time.Duration
	errs  []error // of the reads of VMs, in order
	// empty makes the operators' table one that nobody has written to.
	empty         bool
	operatorReads int
}

func (s *fakeSource) Operators(ctx context.Context, _ uint64, _ time.Duration) (news.Operators, error) {
	s.mu.Lock()
	s.operatorReads++
	empty := s.empty
	s.mu.Unlock()
	if empty {
		return news.Operators{Whole: true}, nil
	}
	<-ctx.Done()
	return news.Operators{}, ctx.Err()
}

func (s *fakeSource) VMs(_ context.Context, after uint64, wait time.Duration) (news.VMs, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after, s.waits = append(s.after, after), append(s.waits, wait)
	var err error
	if len(s.errs) > 0 {
		err, s.errs = s.errs[0], s.errs[1:]
	}
	return news.VMs{Version: after + 5}, err
}

func (s *fakeSource) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.after)
}

type fakeObserver struct {
	mu      sync.Mutex
	version uint64
	told    bool
	failed  int
}

func (o *fakeObserver) Position() news.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	return news.Position{VMs: o.version}
}

func (o *fakeObserver) HasPeerUpdates() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.told
}

func (o *fakeObserver) tell(told bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told = told
}

func (o *fakeObserver) Operators(time.Time, news.Operators) {}

func (o *fakeObserver) VMs(_ time.Time, n news.VMs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = n.Version
}

func (o *fakeObserver) ReadFailed(string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed++
}

func run(t *testing.T, src Source, obs Observer, first bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{VMPause: 5 * time.Millisecond, RetryPause: time.Millisecond, First: func() bool { return first }, OwnFactor: 2}
	go Run(ctx, src, obs, opts) //nolint:errcheck // it ends with the test
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("not reached: " + what)
}

// Each read goes on where the observer is, by whomever it learned that, and
// begins anew where the history is gone.
func TestReadsGoOnWhereTheObserverIs(t *testing.T) {
	src := &fakeSource{errs: []error{nil, errors.New("down"), nil, ErrHistoryGone}}
	obs := &fakeObserver{version: 3}
	run(t, src, obs, true)
	eventually(t, "six reads", func() bool { return src.reads() >= 6 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.DeepEqual(t, src.after[:6], []uint64{3, 8, 8, 13, 0, 5})
	assert.Equal(t, obs.failed, 1)
	assert.Equal(t, src.waits[0], 5*time.Millisecond)
}

func TestNothingIsReadWhileOthersTell(t *testing.T) {
	src, obs := &fakeSource{}, &fakeObserver{told: true}
	run(t, src, obs, false)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, src.reads(), 0)
	obs.tell(false)
	eventually(t, "a read", func() bool { return src.reads() > 0 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.waits[0], 10*time.Millisecond, "a node that isn't the first reads at half the pace")
}

// Reads of a platform to which nobody has written yet are answered at once.
func TestEmptyPlatformIsReadWithPauses(t *testing.T) {
	src := &fakeSource{empty: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{VMPause: time.Millisecond, RetryPause: time.Hour, First: func() bool { return true }}
	go Run(ctx, src, &fakeObserver{version: 3}, opts) //nolint:errcheck // it ends with the test
	eventually(t, "twenty reads of VMs", func() bool { return src.reads() >= 20 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.operatorReads, 1)
}
