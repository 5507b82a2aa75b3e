package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// claimRow is the row of one idempotency key.
type claimRow struct {
	Fingerprint uint64      `json:"fingerprint"`
	Token       string      `json:"token"`
	Done        bool        `json:"done,omitempty"`
	Status      int         `json:"status,omitempty"`
	Header      http.Header `json:"header,omitempty"`
	Body        []byte      `json:"body,omitempty"`
}

// claim implements gateway.Claim.
type claim struct {
	node     *Node
	key      string
	revision uint64
	row      claimRow
}

func claimKey(req gateway.ClaimRequest) string {
	return "claim/" + req.Account + "/" + strconv.FormatUint(xxhash.Sum64String(req.Key), 36)
}

// Claim implements gateway.Backend.
func (n *Node) Claim(ctx context.Context, req gateway.ClaimRequest) (gateway.Claim, *gateway.Recorded, error) {
	c := &claim{node: n, key: claimKey(req), row: claimRow{Fingerprint: req.Fingerprint, Token: n.incarnation}}
	revision, err := n.commit(ctx, c.key, 0, c.row)
	switch {
	case err == nil:
		c.revision = revision
		return c, nil, nil
	case errors.Is(err, platform.ErrConflict):
		return n.readClaim(ctx, c)
	}
	return nil, nil, problem.New(problem.PlatformDown, "the idempotency key could not be claimed", "retry with the same key").After(retryLater)
}

func (n *Node) readClaim(ctx context.Context, c *claim) (gateway.Claim, *gateway.Recorded, error) {
	rows, err := n.platform.Get(ctx, c.key)
	if err != nil {
		return nil, nil, problem.New(problem.PlatformDown, "the idempotency key could not be read", "retry with the same key").After(retryLater)
	}
	var row claimRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return nil, nil, problem.As(err)
	}
	switch {
	case row.Fingerprint != c.row.Fingerprint:
		return nil, nil, problem.New(problem.KeyReused, "the Idempotency-Key was used for another request", "use a fresh key")
	case !row.Done:
		return nil, nil, problem.New(problem.OutcomeUnknown, "an earlier request with this key has no recorded outcome", "check whether it took effect").MayHaveRun()
	}
	return nil, &gateway.Recorded{Status: row.Status, Header: row.Header, Body: row.Body}, nil
}

// Release implements gateway.Claim.
func (c *claim) Release() {
	c.node.spawn(func(ctx context.Context) {
		_, err := c.node.platform.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: c.key, Revision: c.revision}},
			Writes:     []platform.Write{{Key: c.key, Delete: true}},
		})
		if err != nil {
			c.node.log.Warn("a claim could not be released", "error", err)
		}
	})
}

// Record implements gateway.Claim.
func (c *claim) Record(r gateway.Recorded) {
	c.row.Done = true
	c.row.Status, c.row.Header, c.row.Body = r.Status, r.Header, r.Body
	c.node.spawn(func(ctx context.Context) {
		if _, err := c.node.commit(ctx, c.key, c.revision, c.row); err != nil {
			c.node.log.Warn("an outcome could not be recorded", "error", err)
		}
	})
}

// Unknown implements gateway.Claim.
func (c *claim) Unknown() {}
