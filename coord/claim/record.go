package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Status is the stage of a claim in its row.
type Status string

// Statuses of a claim. Rows are never deleted before their retention ends,
// and a released row keeps its revision, so that a late insert cannot land.
const (
	Claimed  Status = "claimed"  // the claimant may dispatch
	Finished Status = "done"     // the outcome is recorded
	Released Status = "released" // certainly not sent; may be claimed again
	Unknown  Status = "unknown"  // sent or perhaps sent, outcome lost
)

// Outcome is the answer to a call that ran.
type Outcome struct {
	StatusCode  int    `json:"status_code"`
	ContentType string `json:"content_type,omitempty"`
	// BodyDigest is the hex SHA-256 digest of the whole body.
	BodyDigest string `json:"body_digest"`
	Body       []byte `json:"body,omitempty"`
	// BodyOmitted says that the body was too large to record.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Record is the value of a claim's row.
type Record struct {
	// Fingerprint digests the request, so that another one under the same key
	// is noticed.
	Fingerprint string `json:"fingerprint"`
	Claimant    Node   `json:"claimant"`
	// Token is unique to the claimant's attempt.
	Token   string   `json:"token"`
	Status  Status   `json:"status"`
	Outcome *Outcome `json:"outcome,omitempty"`
	// Epoch is the value of EpochKey when the row was written.
	Epoch uint64 `json:"epoch"`
}

func (o Outcome) bounded(maxBody int) *Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.BodyOmitted = nil, true
	}
	return &o
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("claim: rows hold only plain values: %v", err))
	}
	return raw
}

func outcomeUnknown(message string) *problem.Error {
	return problem.New(problem.OutcomeUnknown, message,
		"check at the service whether the call took effect; a repeat with the same key will not run it").WithRanUnknown()
}

func keyReused() *problem.Error {
	return problem.New(problem.KeyReused, "the idempotency key belongs to another request", "send this request with a key of its own")
}

// NewOutcome returns the outcome of an answer with its digest.
func NewOutcome(statusCode int, contentType string, body []byte) Outcome {
	sum := sha256.Sum256(body)
	return Outcome{
		StatusCode: statusCode, ContentType: contentType,
		BodyDigest: hex.EncodeToString(sum[:]), Body: body,
	}
}
