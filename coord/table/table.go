// Package table holds the types with which state machines ask for reads and
// transactions of the platform's transactional table.
package table

// Row is one row. Revision 0 means that it does not exist.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition requires a row to be at a revision; 0 requires its absence.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole if all its conditions hold, and else not at all.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Outcome is what is known of a transaction.
type Outcome int

// Outcomes of a transaction.
const (
	// Applied means that the writes took effect.
	Applied Outcome = iota + 1
	// Conflict means that a condition failed and nothing was written.
	Conflict
	// NotWritten means that nothing was written nor will be.
	NotWritten
	// Unknown means that the answer was lost: the writes may have taken
	// effect, or may still do so.
	Unknown
)

// String names the outcome.
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
