package claim

import (
	"cmp"
	"time"
)

// Options configures a State. Zero fields take the defaults.
type Options struct {
	// Self is this node.
	Self Node
	// MaxBatch is the maximum number of claims written in one transaction.
	MaxBatch int
	// BatchWindow is how long a write waits for others to join its transaction,
	// in addition to the time that the previous transaction takes.
	BatchWindow time.Duration
	// CommitsPerSecond limits the rate of this node's transactions. It is the
	// node's share of the rate that the platform supports.
	CommitsPerSecond float64
	// CommitBurst is the number of transactions that may follow each other
	// faster than CommitsPerSecond.
	CommitBurst int
	// MaxQueue limits the claims that wait for a transaction.
	MaxQueue int
	// MaxEntries limits the keys in memory.
	MaxEntries int
	// MaxWaiters limits both the callers and the peers that wait for one key.
	MaxWaiters int
	// MaxBody is the maximum size in bytes of a response body that is recorded.
	// Larger bodies are omitted from the record.
	MaxBody int
	// MaxCommitWait is how long a transaction may take before calls with tickets
	// are dispatched without waiting for their rows.
	MaxCommitWait time.Duration
	// ProbeInterval is the time between reads while the table is down.
	ProbeInterval time.Duration
	// TicketLifetime is how long a ticket is valid after it was issued. Used
	// tickets stay in memory until they expire.
	TicketLifetime time.Duration
	// RetryAfter is the retry hint in refusals.
	RetryAfter time.Duration
}

// Defaults of Options.
const (
	DefaultMaxBatch         = 64
	DefaultCommitsPerSecond = 50
	DefaultCommitBurst      = 20
	DefaultMaxQueue         = 1024
	DefaultMaxEntries       = 8192
	DefaultMaxWaiters       = 64
	DefaultMaxBody          = 4 << 10
	DefaultMaxCommitWait    = 300 * time.Millisecond
	DefaultProbeInterval    = time.Second
	DefaultTicketLifetime   = time.Hour
	DefaultRetryAfter       = 2 * time.Second
)

// maxRereads limits how often an entry's row is read again after its claimant
// replied that the key is released or not found.
const maxRereads = 3

func (o Options) withDefaults() Options {
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.CommitsPerSecond = cmp.Or(o.CommitsPerSecond, DefaultCommitsPerSecond)
	o.CommitBurst = cmp.Or(o.CommitBurst, DefaultCommitBurst)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.MaxEntries = cmp.Or(o.MaxEntries, DefaultMaxEntries)
	o.MaxWaiters = cmp.Or(o.MaxWaiters, DefaultMaxWaiters)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	o.MaxCommitWait = cmp.Or(o.MaxCommitWait, DefaultMaxCommitWait)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.TicketLifetime = cmp.Or(o.TicketLifetime, DefaultTicketLifetime)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	return o
}
