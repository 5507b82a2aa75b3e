// Package table defines the types of the reads and transactions that state
// machines request from the platform's transactional table.
package table

// Row is one row. Revision 0 means that the row does not exist.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition requires a row to have a given revision. Revision 0 requires that the
// row does not exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: all its writes are applied if all its conditions are
// true, and none otherwise.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Outcome is the known result of a transaction.
type Outcome int

// Outcomes of a transaction.
const (
	// Applied means that the writes took effect.
	Applied Outcome = iota + 1
	// Conflict means that a condition failed and nothing was written.
	Conflict
	// NotWritten means that nothing was written and nothing will be.
	NotWritten
	// Unknown means that the answer was lost. The writes may have taken effect,
	// or may still take effect later.
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case Conflict:
		return "conflict"
	case NotWritten:
		return "not written"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}
