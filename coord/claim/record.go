package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Status is the state of a claim in its row.
type Status string

// Statuses of a claim. Rows are not deleted before their retention ends, and a
// released row still has a revision. So a delayed insert, whose condition is that
// the row does not exist, cannot be applied.
const (
	Claimed  Status = "claimed"  // the claimant may dispatch
	Finished Status = "done"     // the outcome is recorded
	Released Status = "released" // the call was certainly not sent; may be claimed again
	Unknown  Status = "unknown"  // the call was or may have been sent, and its outcome is lost
)

// Outcome is the response to a call that ran.
type Outcome struct {
	StatusCode  int    `json:"status_code"`
	ContentType string `json:"content_type,omitempty"`
	// BodyDigest is the hex SHA-256 digest of the whole body.
	BodyDigest string `json:"body_digest"`
	Body       []byte `json:"body,omitempty"`
	// BodyOmitted reports that the body was too large to record.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Record is the value of a claim's row.
type Record struct {
	// Fingerprint is a digest of the request, to detect the use of the key for
	// a different request.
	Fingerprint string `json:"fingerprint"`
	Claimant    Node   `json:"claimant"`
	// Token identifies the claimant's attempt to claim the key.
	Token   string   `json:"token"`
	Status  Status   `json:"status"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// Epoch is the value of EpochKey when the row was written.
	Epoch uint64 `json:"epoch"`
}

// bounded returns a copy of the outcome, without its body if that is larger than
// maxBody bytes.
func (o Outcome) bounded(maxBody int) *Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.BodyOmitted = nil, true
	}
	return &o
}

// encode returns v as JSON. It panics on types that JSON cannot represent, which
// no row has.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("claim: cannot encode the value of a row: %v", err))
	}
	return raw
}

func outcomeUnknownError(message string) *problem.Error {
	return problem.New(problem.OutcomeUnknown, message,
		"check at the service whether the call took effect; a repeat with the same key will not run it").WithRanUnknown()
}

func keyReusedError() *problem.Error {
	return problem.New(problem.KeyReused, "the idempotency key belongs to another request", "send this request with a different key")
}

// NewOutcome returns the outcome of a response, with the digest of its body.
func NewOutcome(statusCode int, contentType string, body []byte) Outcome {
	sum := sha256.Sum256(body)
	return Outcome{
		StatusCode: statusCode, ContentType: contentType,
		BodyDigest: hex.EncodeToString(sum[:]), Body: body,
	}
}
