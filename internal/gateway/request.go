package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// Headers of callers' requests and of requests between entry VMs. The account,
// forwarding and exclusion headers are read only on the peer listener.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "Request-Timeout" // seconds, may be fractional
	headerIdempotencyKey = "Idempotency-Key"
	headerHops           = "Pimentoshore-Hops"
	headerProblem        = "Pimentoshore-Problem"
	headerAccount        = "Pimentoshore-Account"
	// headerIdempotencyFirst is the caller's assurance that it has not sent the
	// Idempotency-Key before.
	headerIdempotencyFirst = "Idempotency-First"
	// headerForward is the kind of a forwarded request.
	headerForward = "Pimentoshore-Forward"
	// headerExclude lists the endpoints at which a forwarded request has failed.
	headerExclude = "Pimentoshore-Exclude"
)

// Values of headerForward.
const (
	// forwardAttempt is one attempt of a request. The sending entry VM handles
	// the account's limit and the idempotency key.
	forwardAttempt = "attempt"
	// forwardKeyed is a complete call. The receiving entry VM can confirm the
	// first use of its key.
	forwardKeyed = "keyed"
)

const (
	// prefixBlockBytes is the size of the blocks in which prompts are hashed. At
	// most maxPrefixBlocks blocks are hashed.
	prefixBlockBytes       = 512
	maxPrefixBlocks        = 16
	maxIdempotencyKeyBytes = 255
	maxRequestIDLen        = 128
	hopSeparator           = ">"
	listSeparator          = ","
)

// request is one call from a caller, or from another entry VM on a caller's
// behalf.
type request struct {
	echo     echo.Context
	account  inventory.ClientAccount
	body     []byte
	deadline time.Time
	// forwarded marks a request that is served from this node's own shares or
	// refused.
	forwarded bool
	// claimed marks a request that runs under another entry VM's claim.
	claimed   bool
	admission Admission
	// bodyMemory is the reserved memory of the body.
	bodyMemory bodylimit.Reservation
	// held is the memory of the responses that were read whole, in bytes.
	held int64
}

// authenticate returns the client account of the bearer key.
func (s *Server) authenticate(r *http.Request) (inventory.ClientAccount, *problem.Error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return inventory.ClientAccount{}, problem.New(problem.Unauthorized,
			"the request has no bearer key", "send Authorization: Bearer <key>")
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := s.backend.ClientAccount(hex.EncodeToString(sum[:]))
	if !ok {
		return account, problem.New(problem.Unauthorized,
			"no client account has this key", "check the key, or ask the operators to add its hash to the inventory")
	}
	return account, nil
}

// timeout returns the timeout that the caller requests, limited to the server's
// maximum.
func (s *Server) timeout(r *http.Request) (time.Duration, *problem.Error) {
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return s.maxTimeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0, problem.New(problem.MalformedRequest,
			"Request-Timeout is not a positive number of seconds", "send a number of seconds, for example Request-Timeout: 30")
	}
	if seconds > s.maxTimeout.Seconds() {
		return s.maxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// openRequest authenticates a call, sets its deadline and reads its body. The
// returned function ends the request and releases what it holds.
func (s *Server) openRequest(c echo.Context) (*request, context.CancelFunc, *problem.Error) {
	r := c.Request()
	req := &request{echo: c}
	var p *problem.Error
	if account, ok := c.Get(forwardedKey).(inventory.ClientAccount); ok {
		req.account = account
		req.forwarded = r.Header.Get(headerForward) != forwardKeyed
		req.claimed = req.forwarded
	} else if req.account, p = s.authenticate(r); p != nil {
		return nil, nil, p
	}
	s.beginRecord(c, req)
	if !ingress.FromContext(r.Context()).Claim(req.account.Name) {
		closeAfterResponse(c)
		return nil, nil, problem.New(problem.Overloaded,
			"the client account has half of this node's connections, which are short", "send fewer requests at once").WithRetryAfter(retryDelay)
	}
	timeout, p := s.timeout(r)
	if p != nil {
		return nil, nil, p
	}
	req.deadline = s.now().Add(timeout)
	if p = s.readBody(req); p != nil {
		return nil, nil, p
	}
	// The connection may have been chosen to be closed just before its body was complete.
	// Now that it is, only the response can be a reason to close the connection.
	if ingress.FromContext(r.Context()).Closing() {
		req.bodyMemory.Release()
		return nil, nil, closingProblem()
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	c.SetRequest(r.WithContext(ctx))
	end := func() {
		cancel()
		req.bodyMemory.Release()
		s.releaseHeld(req)
	}
	return req, end, nil
}

func (r *request) ctx() context.Context { return r.echo.Request().Context() }

// id returns the request id.
func (r *request) id() string { return requestID(r.echo) }

func requestID(c echo.Context) string { return c.Response().Header().Get(headerRequestID) }

// excluded returns the endpoints at which a forwarded request has failed.
func (r *request) excluded() []string {
	list := r.echo.Request().Header.Get(headerExclude)
	if !r.forwarded || list == "" {
		return nil
	}
	return strings.Split(list, listSeparator)
}

// detach lets the request run until its deadline even if the caller
// disconnects, so that its outcome becomes known. The returned function
// cancels the context.
func (r *request) detach(now time.Time) context.CancelFunc {
	hr := r.echo.Request()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(hr.Context()), r.deadline.Sub(now))
	r.echo.SetRequest(hr.WithContext(ctx))
	return cancel
}

// completionHead contains the fields of a completion request that routing uses.
type completionHead struct {
	Model    modelName   `json:"model"`
	Stream   bool        `json:"stream"`
	Prompt   promptStart `json:"prompt"`
	Messages promptStart `json:"messages"`
}

// maxModelNameBytes limits the name of a model as it is sent. Names are kept in logs
// and records, which would otherwise hold as much as a body for each request.
const maxModelNameBytes = 1 << 10

// modelName is the name of a model. Longer names than maxModelNameBytes are errors.
type modelName string

// UnmarshalJSON implements json.Unmarshaler.
func (m *modelName) UnmarshalJSON(raw []byte) error {
	if len(raw) > maxModelNameBytes {
		return &bodylimit.OversizeError{What: "the name of the model", Limit: maxModelNameBytes, Unit: "bytes"}
	}
	return json.Unmarshal(raw, (*string)(m))
}

// promptStart is the part of a prompt's JSON text that is hashed. The rest is not
// copied, since the body's memory would then count only in part.
type promptStart []byte

// UnmarshalJSON implements json.Unmarshaler.
func (s *promptStart) UnmarshalJSON(raw []byte) error {
	*s = bytes.Clone(raw[:min(len(raw), maxPrefixBlocks*prefixBlockBytes)])
	return nil
}

func parseCompletion(body []byte) (completionHead, *problem.Error) {
	var head completionHead
	if err := json.Unmarshal(body, &head); err != nil {
		return head, problem.New(problem.MalformedRequest, "the body is not a JSON object with the fields of a completion request", "correct the body; see the OpenAI API reference")
	}
	if head.Model == "" {
		return head, problem.New(problem.MalformedRequest, "the field model is missing", "use a model that GET /v1/models lists")
	}
	return head, nil
}

// prefixHashes returns the hashes of the prompt's prefixes of full blocks,
// shortest first. They are used for cache locality.
func (h completionHead) prefixHashes() []uint64 {
	text := h.Prompt
	if len(text) == 0 {
		text = h.Messages
	}
	blocks := len(text) / prefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	d := xxhash.New()
	for i := range blocks {
		_, _ = d.Write(text[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
