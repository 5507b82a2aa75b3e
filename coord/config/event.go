package config

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Digest is the message by which a node informs a peer about its current
// configuration.
type Digest struct {
	VM     string `json:"vm"`
	Number uint64 `json:"number"`
	Token  string `json:"token,omitempty"`
	// ReadAge is the time since the newest successful read of the platform
	// that the node knows of, by itself or by another node. It is negative if
	// the node knows of none.
	ReadAge time.Duration `json:"read_age_ns"`
	// ReadBy is the VM that performed that read.
	ReadBy string `json:"read_by,omitempty"`
}

// Event is an input to State.Step.
type Event interface{ event() }

// Events of a State.
type (
	// Tick lets the State act on timers that have expired.
	Tick struct{}
	// PeersChanged replaces the lists of live entry VMs: Local contains those
	// of the node's own data centre, Remote some of other data centres. The
	// node's own VM is ignored in both.
	PeersChanged struct{ Local, Remote []string }
	// HeadRead answers ReadHead. Head is zero if the row does not exist.
	HeadRead struct{ Head Head }
	// ChangesRead answers ReadChanges. The changes are in order of number.
	ChangesRead struct{ Changes []Change }
	// SnapshotRead answers ReadSnapshot.
	SnapshotRead struct{ Snapshot Snapshot }
	// ReadFailed reports that the pending read of the platform failed.
	ReadFailed struct{}
	// DigestReceived delivers a peer's digest.
	DigestReceived struct{ Digest Digest }
	// Fetched answers Fetch. Snapshot is nil unless the peer has discarded
	// changes that the node needs.
	Fetched struct {
		From     string
		Snapshot *Snapshot
		Changes  []Change
	}
	// FetchFailed reports that a Fetch failed.
	FetchFailed struct{ From string }
)

func (Tick) event()           {}
func (PeersChanged) event()   {}
func (HeadRead) event()       {}
func (ChangesRead) event()    {}
func (SnapshotRead) event()   {}
func (ReadFailed) event()     {}
func (DigestReceived) event() {}
func (Fetched) event()        {}
func (FetchFailed) event()    {}

// Effect is an output of State.Step, to be carried out by the embedding program.
type Effect interface{ effect() }

// Effects of a State.
type (
	// ReadHead requests the row with the key HeadKey.
	ReadHead struct{}
	// ReadChanges requests at most Limit changes with numbers above After. The
	// program lists the rows with ChangePrefix whose keys follow
	// ChangeKey(After).
	ReadChanges struct {
		After uint64
		Limit int
	}
	// ReadSnapshot requests the row with the key SnapshotKey(Number).
	ReadSnapshot struct{ Number uint64 }
	// Fetch requests the changes with numbers above After from a peer, which
	// answers with the result of State.Since.
	Fetch struct {
		From  string
		After uint64
	}
	// SendDigest sends a digest to a peer. Delivery is not guaranteed.
	SendDigest struct {
		To     string
		Digest Digest
	}
	// Adopted reports that a configuration is now in force on this node.
	Adopted struct {
		Number   uint64
		Token    string
		Document inventory.Document
	}
	// Conflict reports that the platform or a peer disagrees with this node
	// about a change or offers an invalid configuration. The node keeps its
	// own configuration.
	Conflict struct {
		Number uint64
		// From is the peer, or empty for the platform.
		From string
		Err  error
	}
)

func (ReadHead) effect()     {}
func (ReadChanges) effect()  {}
func (ReadSnapshot) effect() {}
func (Fetch) effect()        {}
func (SendDigest) effect()   {}
func (Adopted) effect()      {}
func (Conflict) effect()     {}
