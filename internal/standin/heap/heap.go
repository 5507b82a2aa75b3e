// Package heap measures the peak heap size of a process while a test runs.
package heap

import (
	"runtime"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of the heap size.
const sampleInterval = 5 * time.Millisecond

// Watch samples the heap size in the background until it is stopped.
type Watch struct {
	mu   sync.Mutex
	peak uint64
	done chan struct{}
}

// NewWatch starts a Watch.
func NewWatch() *Watch {
	w := &Watch{done: make(chan struct{})}
	go w.run()
	return w
}

// Stop stops the sampling. It must be called only once.
func (w *Watch) Stop() { close(w.done) }

// Peak returns the largest heap size so far, in bytes. It takes a sample first.
func (w *Watch) Peak() uint64 {
	w.sample()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// sample reads the heap in use and updates the peak.
func (w *Watch) sample() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, m.HeapInuse)
}

func (w *Watch) run() {
	for {
		w.sample()
		select {
		case <-w.done:
			return
		case <-time.After(sampleInterval):
		}
	}
}
