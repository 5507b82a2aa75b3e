package node

import "time"

// The node's own tasks.
const (
	tickInterval  = 50 * time.Millisecond
	sweepInterval = time.Second
)

// The lease, and what its holder does.
const (
	leaseDuration           = 2 * time.Second
	renewInterval           = 700 * time.Millisecond
	leasePollInterval       = 700 * time.Millisecond
	leasePollersPerInterval = 8
	leaseRetryInterval      = 300 * time.Millisecond
	orderTimeout            = 500 * time.Millisecond
	// spareShare is the fraction of model VMs that is kept in reserve to replace
	// group members.
	spareShare = 1.0 / 12
)

// Reading from the platform and from peers.
const (
	operatorReadWait = 350 * time.Millisecond
	vmReadInterval   = 350 * time.Millisecond
	// followerReadFactor multiplies the read waits and intervals of a node that
	// isn't the reader.
	followerReadFactor     = 2
	vmStartupReadInterval  = 250 * time.Millisecond
	vmStartupPeriod        = 3 * time.Second
	readRetryPause         = 350 * time.Millisecond
	followerReadRetryPause = 1200 * time.Millisecond
	// quarantineReadWait is well below the time for which the platform keeps
	// changes.
	quarantineReadWait   = 10 * time.Second
	quarantineRetryPause = 2 * time.Second
	peerPollInterval     = 200 * time.Millisecond
	peerPollTimeout      = 250 * time.Millisecond
	// peerMaxAge is slightly more than twice the longest wait and round trip of
	// a read.
	peerMaxAge = time.Second
	// keyValidityMargin is subtracted from the period for which keys are valid,
	// to allow for the time that a request takes to reach its endpoint.
	keyValidityMargin = 500 * time.Millisecond
	// unknownRouteAge is the age of the catalog above which an unknown route or
	// key may have been added since.
	unknownRouteAge = 2500 * time.Millisecond
)

// Probing.
const (
	probeTimeout        = 200 * time.Millisecond
	probeInterval       = 450 * time.Millisecond
	memberProbeInterval = 1500 * time.Millisecond
	// maxProbesPerSecond limits the lease holder's probes of all VMs.
	maxProbesPerSecond = 280
	// headProbeInterval is the probe interval of a group's head that this node
	// sends requests to. While a peer sends its reports, the head is only probed
	// if its latest report is older than relayedHeadProbeInterval.
	headProbeInterval        = 800 * time.Millisecond
	relayedHeadProbeInterval = 1600 * time.Millisecond
	fastProbeInterval        = 80 * time.Millisecond
	verifyInterval           = 300 * time.Millisecond
	// maxVerifyProbesPerSecond allows probes of the VMs of about three groups
	// within verifyInterval.
	maxVerifyProbesPerSecond = 150
)

// Stalls of groups and requests.
const (
	// groupStallTimeout is how long all of a group's requests may make no
	// progress before its members are verified, and firstEventStallTimeout how
	// long one may wait for its first event before that.
	groupStallTimeout      = 500 * time.Millisecond
	firstEventStallTimeout = time.Second
	// requestStallTimeout ends a single request that makes no progress, and
	// firstEventTimeout one that never made any.
	requestStallTimeout = 1200 * time.Millisecond
	firstEventTimeout   = 2500 * time.Millisecond
)

// Stopping.
const (
	// stopNoticePeriod is how long a stopping node still accepts connections,
	// until the platform no longer sends callers to it.
	stopNoticePeriod = 3 * time.Second
	// stopMargin is subtracted from the grace period for stopping, but at most the
	// grace period divided by stopMarginDivisor.
	stopMargin        = 700 * time.Millisecond
	stopMarginDivisor = 4
	// lastAnswersPeriod is how long before the end of a stop the requests that still
	// run are given up, so that their callers get an answer, at most the time for
	// stopping divided by lastAnswersDivisor.
	lastAnswersPeriod  = 200 * time.Millisecond
	lastAnswersDivisor = 20
	// leaveTimeout is how long a node that has ended its requests tries to remove its
	// registration, at most half of what is left of the grace period.
	leaveTimeout = 400 * time.Millisecond
	// lastRequestsDivisor sets the least time for the requests that run when a
	// stopping node no longer accepts connections: the time for stopping divided
	// by it.
	lastRequestsDivisor = 3
)

// Memory.
const (
	// gcPercent is below the default of 100 to save memory at the cost of
	// processor time.
	gcPercent = 50
)

// Connections of peers.
const (
	// readHeaderTimeout limits the time for reading a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than peers keep an idle connection.
	idleTimeout = 2 * time.Minute
)
