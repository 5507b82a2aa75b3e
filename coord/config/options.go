package config

import (
	"cmp"
	"time"
)

// Options configures a State. Zero fields take the defaults.
type Options struct {
	// VM names the node, which must be an entry VM of its data centre.
	VM string
	// Seed makes the choice of peers reproducible.
	Seed uint64
	// Readers is the number of nodes of a data centre that poll the platform.
	Readers int
	// PollInterval is the time between a reader's polls.
	PollInterval time.Duration
	// ReadTimeout bounds one read of the platform.
	ReadTimeout time.Duration
	// StaleAfter is the age of the newest known read of the platform at which
	// further nodes start to poll, one after the other.
	StaleAfter time.Duration
	// MaxBackoff bounds the time between failing polls of a node that is not
	// a reader.
	MaxBackoff time.Duration
	// DigestInterval is the time between a node's digests.
	DigestInterval time.Duration
	// Fanout is the number of peers told at once of a new configuration.
	Fanout int
	// FetchTimeout bounds one Fetch.
	FetchTimeout time.Duration
	// Retained is the number of changes kept for peers.
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
	// readLimit is the number of changes read from the platform at once.
	readLimit = 64
	// remoteDigestEvery is the number of digests of a reader after which one
	// goes to another data centre.
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
