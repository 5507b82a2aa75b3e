// Package claim ensures that a call with an idempotency key runs at most once.
// Such a call runs only under a claim on the key, which is either a row of the
// platform's table that a node inserts before it dispatches the call, or a
// ticket, a key that names the only node that may dispatch it. Neither depends
// on clocks or leases, so a paused node cannot cause a second run.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
)

// Row keys of the platform's table.
const (
	rowPrefix    = "claim/"
	issuerPrefix = "claim-issuer/"
	// EpochKey is the key of the row with the epoch counter, which measures the
	// age of rows for their removal.
	EpochKey = "claim-epoch"
)

// Key identifies a call by its client account and the hash of its
// idempotency key.
type Key struct {
	ClientAccount string `json:"client_account"`
	// Hash is the lower-case hex SHA-256 digest of the idempotency key.
	Hash string `json:"hash"`
}

// NewKey returns the Key of an idempotency key in the form that the caller sent.
func NewKey(clientAccount, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return Key{ClientAccount: clientAccount, Hash: hex.EncodeToString(sum[:])}
}

// Row returns the table key of the claim's row.
func (k Key) Row() string { return rowPrefix + k.ClientAccount + "/" + k.Hash }

// Node is one run of the daemon on an entry VM.
type Node struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// closedRow returns the key of the closing row. A node writes this row when it
// stops, once all its claims are in the table.
func (n Node) closedRow() string { return issuerPrefix + n.VM + "/" + n.Incarnation }
