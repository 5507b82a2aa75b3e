package ingress

import (
	"net/http"
	"syscall"
	"time"
)

const (
	// DefaultStalledWrite is how long a write to a caller may make no progress.
	DefaultStalledWrite = 15 * time.Second
	// MaxHeaderBytes is the largest limit of a request's header, in bytes. A higher
	// one in Limits is lowered to it.
	MaxHeaderBytes = 1 << 20

	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
)

// Limits bounds what one caller's connection may do. 0 selects a default.
type Limits struct {
	// IdleTimeout is how long a connection may be idle, before its first request too.
	IdleTimeout time.Duration
	// HeaderTimeout limits the time from a header's first byte to its end.
	HeaderTimeout time.Duration
	// HeaderBytes limits the size of a header, with its request line.
	HeaderBytes int
}

// WithDefaults returns the limits with their defaults.
func (l Limits) WithDefaults() Limits {
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, MaxHeaderBytes)
	return l
}

const (
	// reservedFiles is the number of descriptors that are not for connections.
	reservedFiles = 200
	// Connections of callers may use callerFilesNumerator/callerFilesDivisor of the
	// other descriptors: each request may need a connection to an endpoint as well.
	callerFilesNumerator = 2
	callerFilesDivisor   = 5
	// connectionBytes is the fixed cost of a connection: its buffers, the stack of
	// its goroutine and the part of a body that no budget counts.
	connectionBytes = 48 << 10
	// connectionMemoryDivisor sets the memory for these costs: the memory limit
	// divided by it.
	connectionMemoryDivisor = 4
)

// DefaultConnections returns the default limit of callers' connections of a process
// with openFiles descriptors and a memory limit in bytes, or no limit if it is 0.
func DefaultConnections(openFiles, memory int64) int {
	n := (openFiles - reservedFiles) * callerFilesNumerator / callerFilesDivisor
	if memory > 0 {
		n = min(n, memory/connectionMemoryDivisor/connectionBytes)
	}
	return int(max(1, n))
}

// unknownOpenFiles is used if the process's limit can't be read: the usual default.
const unknownOpenFiles = 1024

// OpenFiles returns the number of descriptors that the process may use: its own limit,
// or the configured one if that is lower. 0 means that none is configured.
func OpenFiles(configured int64) int64 {
	n := int64(unknownOpenFiles)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		n = int64(min(limit.Cur, 1<<31))
	}
	if configured > 0 {
		n = min(n, configured)
	}
	return n
}

// HeaderSize returns the size of a request's header in bytes, with its request line.
func HeaderSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" ") + len(" HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return n
}
