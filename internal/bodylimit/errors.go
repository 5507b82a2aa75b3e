package bodylimit

import "fmt"

// ShortageError means that there is no memory left for a body, though the body
// itself is within its limit.
type ShortageError struct {
	// Holder is the holder whose share is used up, or empty if the budget is.
	Holder string
	Wanted int64
	Used   int64
	Limit  int64
}

// Error implements error.
func (e *ShortageError) Error() string {
	if e.Holder != "" {
		return fmt.Sprintf("%q holds %d of at most %d bytes of request memory and needs %d more; retry later", e.Holder, e.Used, e.Limit, e.Wanted)
	}
	return fmt.Sprintf("%d of %d bytes of request memory are used and %d more are needed; retry later", e.Used, e.Limit, e.Wanted)
}
