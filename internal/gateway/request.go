package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Headers of callers and between entry VMs. Those that carry an account or a
// deadline between entry VMs are only read on the peers' listener.
const (
	headerRequestID      = "X-Request-Id"
	headerTimeout        = "Request-Timeout" // seconds, may have a fraction
	headerIdempotencyKey = "Idempotency-Key"
	headerHops           = "Pimentoshore-Hops"
	headerProblem        = "Pimentoshore-Problem"
	headerAccount        = "Pimentoshore-Account"
	// headerFirst vouches that an Idempotency-Key was not sent before.
	headerFirst = "Idempotency-First"
	// headerForward says what an entry VM forwards.
	headerForward = "Pimentoshore-Forward"
	// headerExclude lists endpoints that have failed a forwarded request.
	headerExclude = "Pimentoshore-Exclude"
)

// Values of headerForward.
const (
	// forwardAttempt is one attempt of a request whose account and key are
	// in the care of the entry VM that sends it.
	forwardAttempt = "attempt"
	// forwardKeyed is a whole call whose key the receiving VM vouches for.
	forwardKeyed = "keyed"
)

const (
	// prefixBlock is the length in bytes of the blocks by which prompts are
	// compared, of which at most maxPrefixBlocks are.
	prefixBlock     = 512
	maxPrefixBlocks = 16
	maxKeyBytes     = 255
	maxRequestIDLen = 128
	hopSeparator    = ">"
	listSeparator   = ","
)

// request is one call of a caller, or of another entry VM on its behalf.
type request struct {
	echo     echo.Context
	account  inventory.ClientAccount
	body     []byte
	deadline time.Time
	// forwarded requests are served from this node's own shares or refused.
	forwarded bool
	// claimed requests run under another entry VM's claim.
	claimed   bool
	admission Admission
}

// authenticate returns the account of the bearer key.
func (s *Server) authenticate(r *http.Request) (inventory.ClientAccount, *problem.Error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return inventory.ClientAccount{}, problem.New(problem.Unauthorized,
			"the request carries no bearer key", "send Authorization: Bearer <key>")
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := s.backend.ClientAccount(hex.EncodeToString(sum[:]))
	if !ok {
		return account, problem.New(problem.Unauthorized,
			"the key belongs to no client account", "check the key, or ask the operators to add its hash to the inventory")
	}
	return account, nil
}

// timeout reads the caller's timeout, bounded by the server's own.
func (s *Server) timeout(r *http.Request) (time.Duration, *problem.Error) {
	value := r.Header.Get(headerTimeout)
	if value == "" {
		return s.maxTimeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0, problem.New(problem.MalformedRequest,
			"Request-Timeout is not a positive number of seconds", "send it like Request-Timeout: 30")
	}
	if seconds > s.maxTimeout.Seconds() {
		return s.maxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func (s *Server) readBody(r *http.Request) ([]byte, *problem.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, s.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge,
			"the body is larger than "+strconv.FormatInt(s.maxBody, 10)+" bytes", "send a smaller one")
	}
	if err != nil {
		return nil, problem.New(problem.MalformedRequest, "the body broke off", "send it whole")
	}
	return body, nil
}

// open authenticates a call, reads its body and bounds it by its deadline.
func (s *Server) open(c echo.Context) (*request, context.CancelFunc, *problem.Error) {
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
	s.begin(c, req)
	timeout, p := s.timeout(r)
	if p != nil {
		return nil, nil, p
	}
	if req.body, p = s.readBody(r); p != nil {
		return nil, nil, p
	}
	req.deadline = s.now().Add(timeout)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	c.SetRequest(r.WithContext(ctx))
	return req, cancel, nil
}

func (r *request) ctx() context.Context { return r.echo.Request().Context() }

// id returns the request's id.
func (r *request) id() string { return r.echo.Response().Header().Get(headerRequestID) }

// excluded lists the endpoints that have failed a forwarded request.
func (r *request) excluded() []string {
	list := r.echo.Request().Header.Get(headerExclude)
	if !r.forwarded || list == "" {
		return nil
	}
	return strings.Split(list, listSeparator)
}

// detach lets the request run until its deadline even if the caller leaves,
// so that its outcome is known. The result frees the context.
func (r *request) detach(now time.Time) context.CancelFunc {
	hr := r.echo.Request()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(hr.Context()), r.deadline.Sub(now))
	r.echo.SetRequest(hr.WithContext(ctx))
	return cancel
}

// completionHead is the part of a completion request that routing reads.
type completionHead struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func parseCompletion(body []byte) (completionHead, *problem.Error) {
	var head completionHead
	if err := json.Unmarshal(body, &head); err != nil {
		return head, problem.New(problem.MalformedRequest, "the body is not a JSON object with the fields of a completion request", "correct it; see the OpenAI API reference")
	}
	if head.Model == "" {
		return head, problem.New(problem.MalformedRequest, "the field model is missing", "name a model of GET /v1/models")
	}
	return head, nil
}

// prefixHashes identifies the prompt's prefixes of whole blocks, shortest
// first, for cache locality.
func (h completionHead) prefixHashes() []uint64 {
	text := h.Prompt
	if len(text) == 0 {
		text = h.Messages
	}
	blocks := min(len(text)/prefixBlock, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	d := xxhash.New()
	for i := range blocks {
		_, _ = d.Write(text[i*prefixBlock : (i+1)*prefixBlock])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
