package config

import (
	"cmp"
	"time"
)

// Options configures a State. Fields that are zero take their defaults.
type Options struct {
	// VM is the name of the node, which must be an entry VM of its data centre.
	VM string
	// Seed initialises the random choice of peers and delays.
	Seed uint64
	// Readers is the number of nodes per data centre that poll the platform
	// regularly.
	Readers int
	// PollInterval is the time between two polls by a reader.
	PollInterval time.Duration
	// ReadTimeout limits the duration of one read of the platform.
	ReadTimeout time.Duration
	// StaleAfter is the age of the newest known read of the platform from
	// which nodes other than the readers start to poll, one after the other.
	StaleAfter time.Duration
	// MaxBackoff limits the backoff, with its jitter, after failed polls by a
	// node that is not a reader.
	MaxBackoff time.Duration
	// DigestInterval is the time between a node's periodic digests.
	DigestInterval time.Duration
	// Fanout is the number of peers to which a node announces a newly adopted
	// configuration.
	Fanout int
	// FetchTimeout limits the duration of one Fetch.
	FetchTimeout time.Duration
	// Retained is the number of changes retained for peers to fetch.
	Retained int
}

// Defaults of Options.
const (
	DefaultReaders        = 2
	DefaultPollInterval   = time.Second
	DefaultReadTimeout    = 2 * time.Second
	DefaultStaleAfter     = 10 * time.Second
	DefaultMaxBackoff     = 30 * time.Second
	DefaultDigestInterval = time.Second
	DefaultFanout         = 4
	DefaultFetchTimeout   = 500 * time.Millisecond
	DefaultRetained       = 256
)

const (
	// readLimit is the maximum number of changes per read of the platform.
	readLimit = 64
	// remoteDigestEvery is the number of periodic digests of a reader of which
	// one is sent to another data centre.
	remoteDigestEvery = 4
)

func (o Options) withDefaults() Options {
	o.Readers = cmp.Or(o.Readers, DefaultReaders)
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.StaleAfter = cmp.Or(o.StaleAfter, DefaultStaleAfter)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.DigestInterval = cmp.Or(o.DigestInterval, DefaultDigestInterval)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	o.FetchTimeout = cmp.Or(o.FetchTimeout, DefaultFetchTimeout)
	o.Retained = cmp.Or(o.Retained, DefaultRetained)
	return o
}
