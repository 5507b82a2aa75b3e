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

var question = []engine.Message{{Role: "user", Content: "Which gloves suit a parchment reading room?"}}

var order = service.Order{OrderID: orderKey, Item: "cotton gloves, size M", Quantity: 24}

// post sends JSON to a daemon as the demo's client account. It repeats a
// call that was refused and certainly did not run until ctx ends.
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

// refusal is a problem document in answer to a call.
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
		refused.Detail, refused.Remedy = "the answer is no problem document", "look at the daemon's log"
	}
	refused.Status = resp.StatusCode
	return nil, refused
}

// chat prints a streamed chat completion as it comes and checks that it is
// whole and right.
func (r *run) chat(ctx context.Context, address string) error {
	body := engine.Request{Model: Model, Messages: question, Stream: true}
	resp, err := post(ctx, address, chatPath, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Fprintf(r.opts.Out, "\nQ: %s\nA: ", question[0].Content)
	text, err := r.printStream(resp.Body)
	fmt.Fprintln(r.opts.Out)
	if err != nil {
		return errors.Annotate(err, "streamed chat completion")
	}
	if want := engine.ExpectedChatText(question, 0); text != want {
		return errors.Errorf("streamed chat completion: the answer is %q instead of %q", text, want)
	}
	r.printTrace(resp)
	return nil
}

// printStream copies the tokens of a stream to the output until its end mark.
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
			return text.String(), errors.Errorf("the stream ended with %s", data)
		}
		text.WriteString(answer.Choices[0].Delta.Content)
		fmt.Fprint(r.opts.Out, answer.Choices[0].Delta.Content)
	}
	return text.String(), errors.Errorf("the stream ended without its end mark (%v)", lines.Err())
}

// order places an order and prints its receipt.
func (r *run) order(ctx context.Context, address string) error {
	resp, err := post(ctx, address, ordersPath, orderKey, order)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var receipt service.Receipt
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&receipt); err != nil {
		return errors.Annotate(err, "glove order")
	}
	if receipt.Order != order || receipt.Run != 1 {
		return errors.Errorf("glove order: the receipt is %+v", receipt)
	}
	fmt.Fprintf(r.opts.Out, "\norder %s: %d × %s %s by %s\n", receipt.OrderID, receipt.Quantity, receipt.Item, receipt.Status, receipt.VM)
	r.printTrace(resp)
	return nil
}

func (r *run) printTrace(resp *http.Response) {
	hops := strings.ReplaceAll(resp.Header.Get(headerHops), ">", " > ")
	fmt.Fprintf(r.opts.Out, "hops:  %s\ntrace: %s\n", hops, resp.Header.Get(headerTrace))
}
