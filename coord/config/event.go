package config

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Digest tells a peer which configuration a node has.
type Digest struct {
	VM     string `json:"vm"`
	Number uint64 `json:"number"`
	Token  string `json:"token,omitempty"`
	// ReadAge is the time since the newest successful read of the platform
	// that the node knows of, its own or one it heard of; negative if none.
	ReadAge time.Duration `json:"read_age_ns"`
	// ReadBy is the VM that did that read.
	ReadBy string `json:"read_by,omitempty"`
}

// Event is an input of State.Step.
type Event interface{ event() }

// Events of a State.
type (
	// Tick runs the timers.
	Tick struct{}
	// PeersChanged replaces the lists of live entry VMs, without the node's
	// own: those of its data centre and some of others.
	PeersChanged struct{ Local, Remote []string }
	// HeadRead answers ReadHead. A missing row is a zero Head.
	HeadRead struct{ Head Head }
	// ChangesRead answers ReadChanges with changes in order of number.
	ChangesRead struct{ Changes []Change }
	// SnapshotRead answers ReadSnapshot.
	SnapshotRead struct{ Snapshot Snapshot }
	// ReadFailed says that the pending read of the platform failed.
	ReadFailed struct{}
	// DigestReceived carries a peer's digest.
	DigestReceived struct{ Digest Digest }
	// Fetched answers Fetch. Snapshot is nil unless the peer's changes no
	// longer reach back far enough.
	Fetched struct {
		From     string
		Snapshot *Snapshot
		Changes  []Change
	}
	// FetchFailed says that a Fetch failed.
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

// Effect is an output of State.Step for the embedding program to carry out.
type Effect interface{ effect() }

// Effects of a State.
type (
	// ReadHead asks for the row HeadKey.
	ReadHead struct{}
	// ReadChanges asks for at most Limit change rows after a number: a list
	// of ChangePrefix after ChangeKey(After).
	ReadChanges struct {
		After uint64
		Limit int
	}
	// ReadSnapshot asks for the row SnapshotKey(Number).
	ReadSnapshot struct{ Number uint64 }
	// Fetch asks a peer for what follows a number; it answers with
	// State.Since.
	Fetch struct {
		From  string
		After uint64
	}
	// SendDigest sends a digest to a peer; it need not arrive.
	SendDigest struct {
		To     string
		Digest Digest
	}
	// Adopted says that a configuration is now in force on this node.
	Adopted struct {
		Number   uint64
		Token    string
		Document inventory.Document
	}
	// Conflict reports that another source disagrees with this node about a
	// change or holds an invalid one. The node keeps what it has.
	Conflict struct {
		Number uint64
		// From is the peer, empty for the platform.
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
