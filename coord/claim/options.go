package claim

import (
	"cmp"
	"time"
)

// Options configures a State. Zero fields take the defaults.
type Options struct {
	// Self is this node.
	Self Node
	// MaxBatch is the number of rows in one transaction.
	MaxBatch int
	// BatchWindow is how long a write waits for others to join it, besides
	// the time that the transaction before it takes.
	BatchWindow time.Duration
	// CommitsPerSecond bounds this node's transactions: its share of what the
	// platform bears.
	CommitsPerSecond float64
	// CommitBurst is the number of transactions that may exceed the rate.
	CommitBurst int
	// MaxQueue bounds the claims that wait for a transaction.
	MaxQueue int
	// MaxEntries bounds the keys held in memory.
	MaxEntries int
	// MaxWaiters bounds the callers and peers that wait for one key.
	MaxWaiters int
	// MaxBody is the number of bytes of an answer that a record holds.
	MaxBody int
	// CommitPatience is how long a call with a ticket waits for its row.
	CommitPatience time.Duration
	// ProbeInterval is the time between reads while the table is down.
	ProbeInterval time.Duration
	// TicketLife is how long after its issue a ticket is valid. Used tickets
	// are remembered for that long.
	TicketLife time.Duration
	// RetryAfter is the hint given with refusals.
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
	DefaultCommitPatience   = 300 * time.Millisecond
	DefaultProbeInterval    = time.Second
	DefaultTicketLifetime   = time.Hour
	DefaultRetryAfter       = 2 * time.Second
)

// maxRereads bounds how often one question to a claimant is followed by
// another read of the row.
const maxRereads = 3

func (o Options) withDefaults() Options {
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.CommitsPerSecond = cmp.Or(o.CommitsPerSecond, DefaultCommitsPerSecond)
	o.CommitBurst = cmp.Or(o.CommitBurst, DefaultCommitBurst)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.MaxEntries = cmp.Or(o.MaxEntries, DefaultMaxEntries)
	o.MaxWaiters = cmp.Or(o.MaxWaiters, DefaultMaxWaiters)
	o.MaxBody = cmp.Or(o.MaxBody, DefaultMaxBody)
	o.CommitPatience = cmp.Or(o.CommitPatience, DefaultCommitPatience)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.TicketLife = cmp.Or(o.TicketLife, DefaultTicketLifetime)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	return o
}
