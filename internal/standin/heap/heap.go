// Package heap watches how large a process's heap grows while a test runs.
package heap

import (
	"runtime"
	"sync"
	"time"
)

// lookEvery is the time between two looks at the heap.
const lookEvery = 5 * time.Millisecond

// Watch follows the heap until it is stopped.
type Watch struct {
	mu   sync.Mutex
	peak uint64
	done chan struct{}
}

// NewWatch begins to watch.
func NewWatch() *Watch {
	w := &Watch{done: make(chan struct{})}
	go w.run()
	return w
}

// Stop ends the watch. It is called once.
func (w *Watch) Stop() { close(w.done) }

// Peak returns the largest size of the heap so far, in bytes.
func (w *Watch) Peak() uint64 {
	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

func (w *Watch) look() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, m.HeapInuse)
}

func (w *Watch) run() {
	for {
		w.look()
		select {
		case <-w.done:
			return
		case <-time.After(lookEvery):
		}
	}
}
