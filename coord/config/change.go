// Package config keeps the numbered sequence of configurations: what one
// change holds, how an operator's edit becomes a change, and how every node
// follows the sequence. A node never goes back to a lower number and never
// takes two different changes of one number.
package config

import (
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Keys of the platform's table that hold the configuration.
const (
	HeadKey        = "config/head"
	ChangePrefix   = "config/change/"
	SnapshotPrefix = "config/snapshot/"
)

// ChangeKey returns the row key of a change. Keys sort by number.
func ChangeKey(number uint64) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, number)
}

// SnapshotKey returns the row key of a snapshot.
func SnapshotKey(number uint64) string {
	return fmt.Sprintf("%s%020d", SnapshotPrefix, number)
}

// Head is the row that names the newest change.
type Head struct {
	Number uint64 `json:"number"`
	// Token is that of the newest change.
	Token string `json:"token"`
	// Snapshot is the number of the newest stored snapshot, 0 without one.
	Snapshot uint64 `json:"snapshot,omitempty"`
}

// Names lists entities by kind.
type Names struct {
	DataCentres    []string `json:"data_centres,omitempty"`
	VMs            []string `json:"vms,omitempty"`
	Models         []string `json:"models,omitempty"`
	Services       []string `json:"services,omitempty"`
	ClientAccounts []string `json:"client_accounts,omitempty"`
}

// Change is one step of the sequence.
type Change struct {
	// Number is one more than that of the change before it; the first is 1.
	Number uint64 `json:"number"`
	// Token is unique to the attempt that wrote the change.
	Token string `json:"token"`
	// Previous is the token of the change before it.
	Previous string `json:"previous,omitempty"`
	Author   string `json:"author,omitempty"`
	// Put holds whole entities that are added or replaced.
	Put inventory.Document `json:"put"`
	// Delete names the entities that are removed.
	Delete Names `json:"delete"`
}

// Empty reports whether the change alters nothing.
func (c Change) Empty() bool {
	p, d := c.Put, c.Delete
	puts := len(p.DataCentres) + len(p.VMs) + len(p.Models) + len(p.Services) + len(p.ClientAccounts)
	deletes := len(d.DataCentres) + len(d.VMs) + len(d.Models) + len(d.Services) + len(d.ClientAccounts)
	return puts+deletes == 0
}

// Snapshot is a whole configuration at a number.
type Snapshot struct {
	Number   uint64             `json:"number"`
	Token    string             `json:"token"`
	Document inventory.Document `json:"document"`
}
