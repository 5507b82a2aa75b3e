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

// cpuPer returns the mean processor time of n calls of f on all cores. It calls
// f once more before, as a warm-up.
func cpuPer(n int, f func()) time.Duration {
	f()
	start := cpuTime()
	for range n {
		f()
	}
	return (cpuTime() - start) / time.Duration(n)
}

// heapOf returns the heap size in bytes of the value that f returns.
func heapOf(f func() any) int {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	kept := f()
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// collectGarbage frees all garbage, including what a sync.Pool keeps for one
// more collection.
func collectGarbage() {
	for range 3 {
		runtime.GC()
	}
}
