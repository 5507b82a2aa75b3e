package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

const (
	headerHops  = "Pimentoshore-Hops"
	headerTrace = "Traceparent"
	chatPath    = "/v1/chat/completions"
	ordersPath  = "/services/" + Service + service.OrdersPath
	orderKey    = "demo-order-1"

	maxProblemBytes = 16 << 10
	retryInterval   = 200 * time.Millisecond
)

var demoQuestion = []engine.Message{{Role: "user", Content: "Which gloves suit a parchment reading room?"}}

var demoOrder = service.Order{OrderID: orderKey, Item: "cotton gloves, size M", Quantity: 24}

// post sends JSON to a daemon as the demo's client account. It retries a request
// that was refused with status 503 and did not run, until ctx ends. key is the
// idempotency key; empty means none.
func post(ctx context.Context, address, path, key string, body any) (*http.Response, error) {
	for {
		resp, err := postOnce(ctx, address, path, key, body)
		var refused *refusal
		if !errors.As(err, &refused) || refused.Ran != "no" || refused.Status != http.StatusServiceUnavailable {
			return resp, err
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		case <-timer.C:
		}
	}
}

// refusal is the problem document of a refused request.
type refusal struct {
	Path   string `json:"-"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
	Ran    string `json:"ran"`
}

func (r *refusal) Error() string {
	return fmt.Sprintf("POST %s answered status %d: %s; %s", r.Path, r.Status, r.Detail, r.Remedy)
}

func postOnce(ctx context.Context, address, path, key string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+AccountKey)
	if key != "" {
		req.Header.Set(service.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "POST %s", path)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	refused := &refusal{Path: path}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(refused); err != nil {
		refused.Detail, refused.Remedy = "the answer is not a problem document", "look at the daemon's log"
	}
	refused.Status = resp.StatusCode
	return nil, refused
}

// streamChat sends a streamed chat completion, prints the answer as it arrives
// and checks that it is complete and correct.
func (r *run) streamChat(ctx context.Context, address string) error {
	body := engine.Request{Model: Model, Messages: demoQuestion, Stream: true}
	resp, err := post(ctx, address, chatPath, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Fprintf(r.opts.Out, "\nQ: %s\nA: ", demoQuestion[0].Content)
	text, err := r.printStream(resp.Body)
	fmt.Fprintln(r.opts.Out)
	if err != nil {
		return errors.Annotate(err, "streamed chat completion")
	}
	if want := engine.ExpectedChatText(demoQuestion, 0); text != want {
		return errors.Errorf("streamed chat completion: the answer is %q instead of %q", text, want)
	}
	r.printTrace(resp)
	return nil
}

// printStream prints the tokens of a stream and returns its text. A stream
// without the end mark [DONE] is an error.
func (r *run) printStream(body io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var answer engine.Answer
		if err := json.Unmarshal([]byte(data), &answer); err != nil {
			return text.String(), errors.Annotatef(err, "event %q", data)
		}
		if len(answer.Choices) == 0 || answer.Choices[0].Delta == nil {
			return text.String(), errors.Errorf("unexpected event in the stream: %s", data)
		}
		text.WriteString(answer.Choices[0].Delta.Content)
		fmt.Fprint(r.opts.Out, answer.Choices[0].Delta.Content)
	}
	return text.String(), errors.Errorf("the stream ended without its end mark (%v)", lines.Err())
}

// placeOrder sends the demo's order and prints its receipt.
func (r *run) placeOrder(ctx context.Context, address string) error {
	resp, err := post(ctx, address, ordersPath, orderKey, demoOrder)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var receipt service.Receipt
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&receipt); err != nil {
		return errors.Annotate(err, "glove order")
	}
	if receipt.Order != demoOrder || receipt.Run != 1 {
		return errors.Errorf("glove order: the receipt is %+v", receipt)
	}
	fmt.Fprintf(r.opts.Out, "\norder %s: %d × %s %s by %s\n", receipt.OrderID, receipt.Quantity, receipt.Item, receipt.Status, receipt.VM)
	r.printTrace(resp)
	return nil
}

// printTrace prints the hops and the trace context of an answer.
func (r *run) printTrace(resp *http.Response) {
	hops := strings.ReplaceAll(resp.Header.Get(headerHops), ">", " > ")
	fmt.Fprintf(r.opts.Out, "hops:  %s\ntrace: %s\n", hops, resp.Header.Get(headerTrace))
}
