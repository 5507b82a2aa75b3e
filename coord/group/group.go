package group

import (
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Group is one replica of a model that runs on several VMs of one fabric
// domain.
type Group struct {
	// ID is unique across data centres: its first segment is the data centre's
	// name.
	ID string `json:"id"`
	// Generation changes with every change of the members. Its upper bits
	// contain the coordinator's term, so that two coordinators never use the
	// same generation.
	Generation   uint64 `json:"generation"`
	Model        string `json:"model"`
	FabricDomain string `json:"fabric_domain"`
	// Members lists the VMs by rank. Rank 0 receives the requests.
	Members []string `json:"members"`
	// Draining excludes the group from new work.
	Draining bool `json:"draining,omitempty"`
}

// Row is the value of a data centre's row in the platform's table.
type Row struct {
	Term uint64 `json:"term"`
	// Token is unique to the write, so that reading the row back shows
	// whether a write with a lost answer succeeded.
	Token  string  `json:"token"`
	Groups []Group `json:"groups"`
}

// RowKey returns the key of a data centre's row in the platform's table.
func RowKey(dataCentre string) string {
	return "groups/" + dataCentre
}

// DecodeRow parses a row's value. An empty value is an empty row.
func DecodeRow(value []byte) (Row, error) {
	var row Row
	if len(value) == 0 {
		return row, nil
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("decode groups row: %w", err)
	}
	return row, nil
}

// Encode returns the row's value.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: all fields of a Row can be marshalled
	}
	return value
}

// matchesPlace reports whether the report names the group, its generation and
// its model at the given rank.
func matchesPlace(g *Group, rank int, r *member.Report) bool {
	return r.Generation == g.Generation && r.Rank == rank && r.Group == g.ID && r.Model == g.Model
}
