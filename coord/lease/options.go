package lease

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Default durations of a lease.
const (
	DefaultDuration     = 9 * time.Second
	DefaultPromise      = 9 * time.Second
	DefaultRenewEvery   = 3 * time.Second
	DefaultPollEvery    = 3 * time.Second
	DefaultAskEvery     = 4 * time.Second
	DefaultRetryEvery   = time.Second
	DefaultOrderTimeout = 2 * time.Second
	DefaultMargin       = 500 * time.Millisecond
	DefaultPauseBound   = 10 * time.Second
	DefaultVMListLag    = 60 * time.Second
	DefaultVMsEvery     = 30 * time.Second
	DefaultDriftPPM     = 10_000
)

const partsPerMillion = 1_000_000

// Options configure one candidate. A zero duration means the default.
type Options struct {
	DataCentre string
	VM         string
	// Incarnation is unique to this process. The embedding program creates a
	// Machine only once it has bound the VM's peer address, so that a new
	// incarnation of a VM proves that the old one has ended.
	Incarnation string
	// Place and Address tell the other candidates how to reach this one: its
	// data centre, and an IP address and port. The lease itself uses neither.
	Place, Address string
	// Duration is how long a renewal keeps the lease.
	Duration time.Duration
	// Promise is how long a candidate's promise lasts.
	Promise time.Duration
	// WithoutPromises lets the lease expire in an outage. No promises are
	// requested, so candidates need not be listed in the row or wait for
	// promises to expire.
	WithoutPromises bool
	// RenewEvery is the interval between renewals by the holder.
	RenewEvery time.Duration
	// PollEvery is the interval between reads by other candidates.
	PollEvery time.Duration
	// PollersPerInterval is the largest number of candidates that each read
	// every PollEvery. With more, the interval grows in proportion, which bounds
	// the total rate of reads. 0 means no limit.
	PollersPerInterval int
	// AskEvery is the interval between rounds of promise requests in an
	// outage.
	AskEvery time.Duration
	// RetryEvery is the delay after a failed read by the holder, a failed
	// write or a promise request that was refused or not answered.
	RetryEvery time.Duration
	// OrderTimeout bounds the time from sending an order to an endpoint until
	// its answer.
	OrderTimeout time.Duration
	// Margin is how much longer than an order's timeout the remaining lease must
	// be when the order is sent.
	Margin time.Duration
	// PauseBound is the longest delay, beyond an order's timeout, between the
	// check of the lease and the order's effect at an endpoint.
	PauseBound time.Duration
	// VMListLag bounds the age of the platform's list of VMs.
	VMListLag time.Duration
	// VMsEvery is the interval between a holder's reads of that list.
	VMsEvery time.Duration
	// DriftPPM bounds the relative difference between the rates of any two
	// nodes' clocks, in parts per million.
	DriftPPM int64
	// Seed seeds the random delays that spread the candidates' takeovers.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Duration = cmp.Or(o.Duration, DefaultDuration)
	if !o.WithoutPromises {
		o.Promise = cmp.Or(o.Promise, DefaultPromise)
	}
	o.RenewEvery = cmp.Or(o.RenewEvery, DefaultRenewEvery)
	o.PollEvery = cmp.Or(o.PollEvery, DefaultPollEvery)
	o.AskEvery = cmp.Or(o.AskEvery, DefaultAskEvery)
	o.RetryEvery = cmp.Or(o.RetryEvery, DefaultRetryEvery)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.PauseBound = cmp.Or(o.PauseBound, DefaultPauseBound)
	o.VMListLag = cmp.Or(o.VMListLag, DefaultVMListLag)
	o.VMsEvery = cmp.Or(o.VMsEvery, DefaultVMsEvery)
	if o.DriftPPM == 0 {
		o.DriftPPM = DefaultDriftPPM
	}
	return o
}

// Validate returns a *problem.Error if the durations are too long to keep a
// lease reliably.
func (o Options) Validate() error {
	o = o.withDefaults()
	limits := []struct {
		name        string
		value       time.Duration
		below       time.Duration
		consequence string
	}{
		{"RenewEvery", o.RenewEvery, o.Duration / 2, "half of Duration, or one slow write costs the lease"},
		{"AskEvery", o.AskEvery, o.effectivePromise(), "Promise, or promises run out before the next round"},
		{"OrderTimeout plus Margin", o.OrderTimeout + o.Margin, min(o.Duration, o.effectivePromise()) / 2, "half of Duration and of Promise, or orders rarely fit into the lease"},
	}
	for _, l := range limits {
		if o.WithoutPromises && l.name == "AskEvery" {
			continue
		}
		if l.value >= l.below {
			message := fmt.Sprintf("%s of %v is too long", l.name, l.value)
			return problem.New(problem.ConfigInvalid, message, "set it below "+l.consequence)
		}
	}
	return nil
}

// compensateDrift returns the time to wait on this clock so that at least d has
// passed on any other.
func (o Options) compensateDrift(d time.Duration) time.Duration {
	drift := time.Duration(o.DriftPPM)
	return d + (d/partsPerMillion+1)*drift
}

// effectivePromise returns the length of promises, or the lease's duration if
// none are requested.
func (o Options) effectivePromise() time.Duration {
	if o.WithoutPromises {
		return o.Duration
	}
	return o.Promise
}
