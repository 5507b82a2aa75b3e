package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

// Outcome is how a request ended.
type Outcome string

// Outcomes of a request.
const (
	Whole   Outcome = "whole"    // the complete and correct answer
	Refused Outcome = "refused"  // an error status before any event, usually with a problem document
	Broken  Outcome = "broken"   // a stream that ended with an explicit error
	Short   Outcome = "short"    // an incomplete answer, or a stream without its end mark
	Wrong   Outcome = "wrong"    // a complete answer with unexpected content
	Failed  Outcome = "failed"   // no answer: the deadline passed or the connection failed
	NotSent Outcome = "not-sent" // not sent because of max_outstanding
)

// Result is the measurement of one request.
type Result struct {
	Account int
	IsOrder bool
	Outcome Outcome
	// Reason is the kind of problem or failure. Ran states whether a refused
	// request ran, as the refusal says.
	Reason string
	Ran    string
	// FirstToken and Took are measured from the scheduled arrival.
	FirstToken time.Duration
	Took       time.Duration
	// Between are the times between tokens.
	Between []time.Duration
	// Late is how long after its arrival the request was sent.
	Late time.Duration
}

const (
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 1 << 20
	problemType    = "application/problem+json"
)

// sender sends single requests.
type sender struct {
	workload Workload
	client   *http.Client
}

// send sends the request of an arrival that was scheduled for due, and measures
// it.
func (s *sender) send(ctx context.Context, index int, a Arrival, due time.Time) Result {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.workload.Deadline))
	defer cancel()
	r := Result{Account: a.Account, IsOrder: a.IsOrder, Late: time.Since(due)}
	req, err := s.newRequest(ctx, index, a)
	if err != nil {
		r.Outcome, r.Reason = Failed, err.Error()
		return r
	}
	resp, err := s.client.Do(req)
	if err != nil {
		r.Outcome, r.Reason, r.Took = Failed, failureReason(ctx), time.Since(due)
		return r
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readRefusal(resp)
	case a.IsOrder:
		r.readReceipt(resp.Body, a)
	default:
		r.readStream(resp.Body, a, due)
	}
	if r.Outcome == Short && ctx.Err() != nil {
		r.Outcome, r.Reason = Failed, failureReason(ctx)
	}
	r.Took = time.Since(due)
	return r
}

// failureReason returns why a request got no answer: "deadline" or
// "connection".
func failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return "deadline"
	}
	return "connection"
}

func (s *sender) newRequest(ctx context.Context, index int, a Arrival) (*http.Request, error) {
	base := strings.TrimRight(s.workload.URLs[index%len(s.workload.URLs)], "/")
	path, body := "/v1/chat/completions", s.newChat(a)
	if a.IsOrder {
		path = "/services/" + s.workload.Orders.Service + service.OrdersPath
		body = service.Order{OrderID: a.OrderID, Item: "cotton gloves", Quantity: 1}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.workload.Accounts[a.Account].Key)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", s.workload.Deadline.Seconds()))
	if a.IsOrder {
		req.Header.Set(service.HeaderIdempotencyKey, a.OrderID)
	}
	return req, nil
}

func (s *sender) newChat(a Arrival) any {
	return engine.Request{Model: s.workload.Chat.Model, Messages: messages(a), MaxTokens: a.AnswerTokens, Stream: true}
}

func messages(a Arrival) []engine.Message {
	return []engine.Message{{Role: "user", Content: engine.Text(a.Prompt)}}
}

// problemBody holds the fields of a problem document that the report uses.
type problemBody struct {
	Title string `json:"title"`
	Ran   string `json:"ran"`
}

func (r *Result) readRefusal(resp *http.Response) {
	r.Outcome = Refused
	r.Reason = fmt.Sprintf("status %d without a problem document", resp.StatusCode)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) {
		return
	}
	var body problemBody
	if json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&body) == nil {
		r.Reason, r.Ran = body.Title, body.Ran
	}
}

// readReceipt reads the answer to an order up to its end.
func (r *Result) readReceipt(body io.Reader, a Arrival) {
	var receipt service.Receipt
	raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err == nil {
		err = decodeWhole(raw, &receipt)
	}
	switch {
	case errors.Is(err, errNotJSON):
		r.Outcome, r.Reason = Wrong, errNotJSON.Error()
	case err != nil:
		r.Outcome = Short
	case receipt.OrderID != a.OrderID:
		r.Outcome = Wrong
	default:
		r.Outcome = Whole
	}
}

var errNotJSON = errors.New("not JSON")

// decodeWhole decodes raw, which must be one JSON value, into v. The error is
// errNotJSON unless raw ends early.
func decodeWhole(raw []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	err := decoder.Decode(v)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	if _, after := decoder.Token(); err != nil || !errors.Is(after, io.EOF) {
		return errNotJSON
	}
	return nil
}

// readStream reads a streamed answer up to its end mark and compares its text
// with the expected one.
func (r *Result) readStream(body io.Reader, a Arrival, due time.Time) {
	var text strings.Builder
	last := due
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.checkText(text.String(), a)
			return
		}
		token, err := parseToken(data)
		if err != nil {
			r.Outcome, r.Reason = Broken, err.Error()
			return
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		last = r.recordToken(last, due)
	}
	r.Outcome = Short
}

// recordToken records the arrival of a token and returns its time.
func (r *Result) recordToken(last, due time.Time) time.Time {
	now := time.Now()
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(due)
		return now
	}
	r.Between = append(r.Between, now.Sub(last))
	return now
}

func (r *Result) checkText(text string, a Arrival) {
	r.Outcome = Whole
	if text != engine.ExpectedChatText(messages(a), a.AnswerTokens) {
		r.Outcome = Wrong
	}
}

// event is an event of a stream: a chunk of the answer or an error.
type event struct {
	engine.Answer
	Error *eventError `json:"error"`
}

type eventError struct {
	Type string `json:"type"`
}

// streamError is an explicit error event in a stream, or an event that is not
// JSON.
type streamError struct{ kind string }

func (e *streamError) Error() string { return e.kind }

// parseToken returns the text of an event. Its error is a *streamError.
func parseToken(data string) (string, error) {
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return "", &streamError{kind: errNotJSON.Error()}
	}
	switch {
	case ev.Error != nil:
		return "", &streamError{kind: ev.Error.Type}
	case len(ev.Choices) == 0:
		return "", nil
	case ev.Choices[0].Delta != nil:
		return ev.Choices[0].Delta.Content, nil
	default:
		return ev.Choices[0].Text, nil
	}
}
