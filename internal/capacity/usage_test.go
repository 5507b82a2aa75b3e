package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPer returns the processor time of one of n calls, on all cores.
func cpuPer(n int, f func()) time.Duration {
	f()
	start := cpuTime()
	for range n {
		f()
	}
	return (cpuTime() - start) / time.Duration(n)
}

// heapOf returns the bytes that what f makes keeps on the heap.
func heapOf(f func() any) int {
	var before, after runtime.MemStats
	collect()
	runtime.ReadMemStats(&before)
	kept := f()
	collect()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// collect frees all garbage, also what pools keep for one collection.
func collect() {
	for range 3 {
		runtime.GC()
	}
}
