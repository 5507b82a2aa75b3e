package gateway

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "https://pimentoshore.invalid/problems/"
	maxProblemBytes    = 16 << 10
)

var statusByKind = map[problem.Kind]int{
	problem.Unauthorized:     http.StatusUnauthorized,
	problem.UnknownModel:     http.StatusNotFound,
	problem.UnknownService:   http.StatusNotFound,
	problem.MalformedRequest: http.StatusBadRequest,
	problem.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	problem.BodyTimeout:      http.StatusRequestTimeout,
	problem.HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	problem.MemoryShort:      http.StatusServiceUnavailable,
	problem.AccountLimit:     http.StatusTooManyRequests,
	problem.Overloaded:       http.StatusServiceUnavailable,
	problem.Quarantined:      http.StatusServiceUnavailable,
	problem.NoEndpoint:       http.StatusServiceUnavailable,
	problem.PlatformDown:     http.StatusServiceUnavailable,
	problem.NotReady:         http.StatusServiceUnavailable,
	problem.Stopping:         http.StatusServiceUnavailable,
	problem.DeadlineExceeded: http.StatusGatewayTimeout,
	problem.EndpointFailed:   http.StatusBadGateway,
	problem.KeyReused:        http.StatusUnprocessableEntity,
	problem.OutcomeUnknown:   http.StatusConflict,
	problem.ConfigConflict:   http.StatusConflict,
	problem.ConfigInvalid:    http.StatusUnprocessableEntity,
	problem.NotFound:         http.StatusNotFound,
}

// problemDocument is a problem document (RFC 9457). Its error member repeats the
// message in the format of the OpenAI API.
type problemDocument struct {
	Type       string       `json:"type"`
	Title      string       `json:"title"`
	Status     int          `json:"status"`
	Detail     string       `json:"detail"`
	Remedy     string       `json:"remedy"`
	Ran        problem.Ran  `json:"ran"`
	RequestID  string       `json:"request_id,omitempty"`
	RetryAfter float64      `json:"retry_after_seconds,omitempty"`
	Error      errorSummary `json:"error"`
}

type errorSummary struct {
	Message string      `json:"message"`
	Type    string      `json:"type"`
	Code    string      `json:"code"`
	Ran     problem.Ran `json:"ran"`
}

// StatusOf returns the HTTP status of a kind of problem.
func StatusOf(k problem.Kind) int {
	if status, ok := statusByKind[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func newProblemDocument(e *problem.Error, requestID string) problemDocument {
	return problemDocument{
		Type:       problemTypePrefix + string(e.Kind),
		Title:      string(e.Kind),
		Status:     StatusOf(e.Kind),
		Detail:     e.Message,
		Remedy:     e.Remedy,
		Ran:        e.Ran,
		RequestID:  requestID,
		RetryAfter: e.RetryAfter.Seconds(),
		Error: errorSummary{
			Message: e.Message + "; " + e.Remedy,
			Type:    string(e.Kind),
			Code:    string(e.Kind),
			Ran:     e.Ran,
		},
	}
}

// ServeProblem writes the error's problem document. It is for handlers outside
// the gateway.
func ServeProblem(w http.ResponseWriter, e *problem.Error) error {
	doc := newProblemDocument(e, "")
	w.Header().Set(headerProblem, string(e.Kind))
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(doc.Status)
	return json.NewEncoder(w).Encode(doc)
}

// writeProblem answers the request with the error's problem document and records
// the error as the request's outcome.
func writeProblem(c echo.Context, e *problem.Error) error {
	doc := newProblemDocument(e, c.Response().Header().Get(headerRequestID))
	doc.Status = problemStatus(c, e)
	h := c.Response().Header()
	h.Set(headerProblem, string(e.Kind))
	c.Set(outcomeKey, e)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return c.Blob(doc.Status, problemContentType, body)
}

// readProblem decodes the problem document in another entry VM's response.
func readProblem(resp *http.Response) *problem.Error {
	var doc problemDocument
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&doc)
	if err != nil {
		return problem.New(problem.EndpointFailed, "the response of an entry VM was truncated", "retry later").WithRanUnknown()
	}
	return &problem.Error{
		Kind:       problem.Kind(doc.Title),
		Message:    doc.Detail,
		Remedy:     doc.Remedy,
		Ran:        doc.Ran,
		RetryAfter: time.Duration(doc.RetryAfter * float64(time.Second)),
	}
}
