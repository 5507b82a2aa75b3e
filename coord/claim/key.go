// Package claim runs calls that must not be repeated at most once. A call
// with an idempotency key runs only under a claim on the key: a row of the
// platform's table that one node inserts before it dispatches, or a ticket,
// a key that names the one node that may dispatch it. Neither depends on
// clocks or leases, so a paused node cannot cause a second run.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
)

// Row keys of the platform's table.
const (
	rowPrefix    = "claim/"
	issuerPrefix = "claim-issuer/"
	// EpochKey counts the passing of time for the removal of old rows.
	EpochKey = "claim-epoch"
)

// Key identifies a call by its client account and the hash of its
// idempotency key.
type Key struct {
	ClientAccount string `json:"client_account"`
	// Hash is the lower-case hex SHA-256 digest of the idempotency key.
	Hash string `json:"hash"`
}

// NewKey returns the key of an idempotency key as the caller sent it.
func NewKey(clientAccount, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Key{ClientAccount: clientAccount, Hash: hex.EncodeToString(sum[:])}
}

// Row returns the key of the claim's row.
func (k Key) Row() string { return rowPrefix + k.ClientAccount + "/" + k.Hash }

// Node is one run of the daemon on an entry VM.
type Node struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// closedRow is the key of the row in which a stopped node says that all its
// claims are in the table.
func (n Node) closedRow() string { return issuerPrefix + n.VM + "/" + n.Incarnation }
