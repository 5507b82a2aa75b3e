package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// fakeSource returns scripted results and records the requested versions and
// waits of VM reads.
type fakeSource struct {
	mu    sync.Mutex
	after []uint64
	waits []time.Duration
	errs  []error // results of the VM reads, in order
	// unwritten simulates an operators' table without any writes.
	unwritten     bool
	operatorReads int
}

func (s *fakeSource) Operators(ctx context.Context, _ updates.Revision, _ time.Duration) (updates.Operators, error) {
	s.mu.Lock()
	s.operatorReads++
	unwritten := s.unwritten
	s.mu.Unlock()
	if unwritten {
		return updates.Operators{Whole: true}, nil
	}
	<-ctx.Done()
	return updates.Operators{}, ctx.Err()
}

func (s *fakeSource) VMs(_ context.Context, after updates.Revision, wait time.Duration) (updates.VMs, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after, s.waits = append(s.after, after.Version), append(s.waits, wait)
	var err error
	if len(s.errs) > 0 {
		err, s.errs = s.errs[0], s.errs[1:]
	}
	return updates.VMs{Version: after.Version + 5}, err
}

// Quarantine waits without a change.
func (s *fakeSource) Quarantine(ctx context.Context, _ updates.Revision, _ time.Duration) (updates.Quarantine, error) {
	<-ctx.Done()
	return updates.Quarantine{}, ctx.Err()
}

func (s *fakeSource) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.after)
}

// fakeObserver counts failed reads and can claim to receive updates from a peer.
type fakeObserver struct {
	mu        sync.Mutex
	version   uint64
	receiving bool
	failures  int
}

func (o *fakeObserver) Position() updates.Position {
	o.mu.Lock()
	defer o.mu.Unlock()
	return updates.Position{VMs: updates.Revision{Version: o.version}}
}

func (o *fakeObserver) HasPeerUpdates() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.receiving
}

func (o *fakeObserver) setReceiving(receiving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.receiving = receiving
}

func (o *fakeObserver) Operators(time.Time, updates.Operators) {}

func (o *fakeObserver) VMs(_ time.Time, n updates.VMs) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = n.Version
}

func (o *fakeObserver) Quarantine(updates.Quarantine) {}

func (o *fakeObserver) ReadFailed(what string, _ error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if what != "quarantined parts" {
		o.failures++
	}
}

func run(t *testing.T, src Source, obs Observer, reader bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{VMInterval: 5 * time.Millisecond, RetryPause: time.Millisecond, IsReader: func() bool { return reader }, FollowerFactor: 2}
	go Run(ctx, src, obs, opts) //nolint:errcheck // it ends with the test
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

// Each read requests the changes after the observer's position, whether that
// came from a read or from a peer, and all rows after ErrHistoryGone.
func TestReadsContinueFromObserverPosition(t *testing.T) {
	src := &fakeSource{errs: []error{nil, errors.New("down"), nil, ErrHistoryGone}}
	obs := &fakeObserver{version: 3}
	run(t, src, obs, true)
	eventually(t, "six reads", func() bool { return src.reads() >= 6 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.DeepEqual(t, src.after[:6], []uint64{3, 8, 8, 13, 0, 5})
	assert.Equal(t, obs.failures, 1)
	assert.Equal(t, src.waits[0], 5*time.Millisecond)
}

func TestNoReadsWhilePeerSendsUpdates(t *testing.T) {
	src, obs := &fakeSource{}, &fakeObserver{receiving: true}
	run(t, src, obs, false)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, src.reads(), 0)
	obs.setReceiving(false)
	eventually(t, "a read", func() bool { return src.reads() > 0 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.waits[0], 10*time.Millisecond, "a node that isn't the reader must read half as often")
}

// A read of operators' rows that were never written returns at once. The next
// read must wait for RetryPause.
func TestUnwrittenPlatformIsReadWithPauses(t *testing.T) {
	src := &fakeSource{unwritten: true}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{VMInterval: time.Millisecond, RetryPause: time.Hour, IsReader: func() bool { return true }}
	go Run(ctx, src, &fakeObserver{version: 3}, opts) //nolint:errcheck // it ends with the test
	eventually(t, "twenty reads of VMs", func() bool { return src.reads() >= 20 })
	src.mu.Lock()
	defer src.mu.Unlock()
	assert.Equal(t, src.operatorReads, 1)
}

// Guards against reads without a pause of a platform that has no history, whatever
// the reason.
func TestPlatformWithoutHistoryIsReadWithPauses(t *testing.T) {
	src := &fakeSource{}
	for range 50 {
		src.errs = append(src.errs, ErrHistoryGone, nil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{RetryPause: time.Hour, IsReader: func() bool { return true }}
	go Run(ctx, src, &fakeObserver{version: 3}, opts) //nolint:errcheck // it ends with the test
	eventually(t, "three reads of VMs", func() bool { return src.reads() >= 3 })
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, src.reads(), 3, "changes, all rows at once, changes, then a pause")
}
