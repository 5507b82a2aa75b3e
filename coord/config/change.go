// Package config implements the numbered sequence of configurations. It defines
// the changes that make up the sequence, turns an operator's edit into a change
// and lets every node follow the sequence. A node never returns to a lower
// number and never adopts two different changes with the same number.
package config

import (
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Keys and key prefixes of the configuration's rows in the platform's table.
const (
	HeadKey        = "config/head"
	ChangePrefix   = "config/change/"
	SnapshotPrefix = "config/snapshot/"
)

// ChangeKey returns the row key of the change with the given number. The keys
// sort in order of number.
func ChangeKey(number uint64) string {
	return fmt.Sprintf("%s%020d", ChangePrefix, number)
}

// SnapshotKey returns the row key of the snapshot with the given number.
func SnapshotKey(number uint64) string {
	return fmt.Sprintf("%s%020d", SnapshotPrefix, number)
}

// Head is the row that identifies the newest change.
type Head struct {
	Number uint64 `json:"number"`
	// Token is the token of the newest change.
	Token string `json:"token"`
	// Snapshot is the number of the newest stored snapshot, or 0 if there is
	// none.
	Snapshot uint64 `json:"snapshot,omitempty"`
}

// Names lists the names of entities by kind.
type Names struct {
	DataCentres    []string `json:"data_centres,omitempty"`
	VMs            []string `json:"vms,omitempty"`
	Models         []string `json:"models,omitempty"`
	Services       []string `json:"services,omitempty"`
	ClientAccounts []string `json:"client_accounts,omitempty"`
}

// Change is one step of the sequence of configurations.
type Change struct {
	// Number is one more than the number of the preceding change. The first
	// change has number 1.
	Number uint64 `json:"number"`
	// Token is unique to the attempt that wrote the change.
	Token string `json:"token"`
	// Previous is the token of the preceding change.
	Previous string `json:"previous,omitempty"`
	Author   string `json:"author,omitempty"`
	// Put contains the complete entities to add or replace.
	Put inventory.Document `json:"put"`
	// Delete names the entities to remove.
	Delete Names `json:"delete"`
}

// Empty reports whether the change neither puts nor deletes an entity.
func (c Change) Empty() bool {
	p, d := c.Put, c.Delete
	puts := len(p.DataCentres) + len(p.VMs) + len(p.Models) + len(p.Services) + len(p.ClientAccounts)
	deletes := len(d.DataCentres) + len(d.VMs) + len(d.Models) + len(d.Services) + len(d.ClientAccounts)
	return puts+deletes == 0
}

// Snapshot is the complete configuration as of a number.
type Snapshot struct {
	Number   uint64             `json:"number"`
	Token    string             `json:"token"`
	Document inventory.Document `json:"document"`
}
