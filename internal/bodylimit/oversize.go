package bodylimit

import "fmt"

// OversizeError means that what another process sent exceeds a limit, for example
// because its head never ends.
type OversizeError struct {
	What  string
	Limit int64
	Unit  string
}

// Error implements error.
func (e *OversizeError) Error() string {
	return fmt.Sprintf("%s is over the limit of %d %s; look at what the sender sends", e.What, e.Limit, e.Unit)
}
