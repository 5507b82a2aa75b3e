package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

var joinG = member.Order{VM: "m1", Action: member.Join, Group: "g", Generation: 3, Model: "m", Fence: member.Fence{Term: 2}}

func start(t *testing.T, opts Options) (*Engine, string) {
	t.Helper()
	e := New(opts)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

// call sends a chat with the prompt "p" to group g at a generation.
func call(ctx context.Context, url string, generation, after int, stream bool) (*http.Response, error) {
	body, _ := json.Marshal(Request{Model: "m", Messages: []Message{{Role: "user", Content: "p"}}, Stream: stream})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set(endpoint.HeaderGroup, "g")
	req.Header.Set(endpoint.HeaderGeneration, strconv.Itoa(generation))
	req.Header.Set(endpoint.HeaderAttempt, "attempt-1")
	if after > 0 {
		req.Header.Set(endpoint.HeaderLastEventID, strconv.Itoa(after))
	}
	return http.DefaultClient.Do(req)
}

// readStream returns the text, the number of events and whether the stream was
// complete.
func readStream(body io.Reader) (text string, events int, complete bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, events, true
		}
		var answer Answer
		if json.Unmarshal([]byte(data), &answer) != nil {
			return text, events, false
		}
		text += answer.Choices[0].Delta.Content
		events++
	}
	return text, events, false
}

var expected = ExpectedChatText([]Message{{Role: "user", Content: "p"}}, 0)

func TestServesOnlyOwnGroupAndGeneration(t *testing.T) {
	e, url := start(t, Options{VM: "m1"})
	for _, tc := range []struct {
		order      member.Order
		generation int
		status     int
	}{
		{member.Order{Action: member.Leave}, 3, http.StatusConflict},
		{joinG, 3, http.StatusOK},
		{joinG, 2, http.StatusConflict},
		{member.Order{Action: member.Join, Group: "g", Generation: 3, Model: "m", Rank: 1}, 3, http.StatusConflict},
	} {
		assert.Assert(t, e.Order(tc.order))
		resp, err := call(context.Background(), url, tc.generation, 0, false)
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, tc.status)
		assert.Equal(t, resp.Header.Get(endpoint.HeaderIncarnation), e.Report().Incarnation)
		if tc.status == http.StatusOK {
			var answer Answer
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
			assert.Equal(t, string(answer.Choices[0].Message.Content), expected)
		}
	}
	assert.Equal(t, e.Counts().Runs, uint64(1))
	assert.Equal(t, e.Counts().Misdirected, uint64(3))
}

func TestCutStreamResumes(t *testing.T) {
	e, url := start(t, Options{VM: "m1"})
	e.Order(joinG)
	e.SetFaults(Faults{CutAfterEvents: 4, Times: 1})
	resp, err := call(context.Background(), url, 3, 0, true)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, events, complete := readStream(resp.Body)
	assert.Assert(t, !complete)
	assert.Equal(t, events, 4)

	resp, err = call(context.Background(), url, 3, events, true)
	assert.NilError(t, err)
	defer resp.Body.Close()
	rest, _, complete := readStream(resp.Body)
	assert.Assert(t, complete)
	assert.Equal(t, text+rest, expected)
}

func TestFencing(t *testing.T) {
	stale := member.Order{Action: member.Leave, Fence: member.Fence{Term: 1, Sequence: 9}}
	checks := New(Options{ChecksFencing: true})
	checks.Order(joinG)
	assert.Assert(t, !checks.Order(stale))
	assert.Equal(t, checks.Report().Group, "g")
	assert.Equal(t, checks.Counts().Fenced, uint64(1))

	ignores := New(Options{})
	ignores.Order(joinG)
	assert.Assert(t, ignores.Order(stale))
	assert.Equal(t, ignores.Report().State, member.Idle)
}

func TestRepeatedJoinDoesNotReload(t *testing.T) {
	e := New(Options{LoadTime: time.Hour})
	e.Order(joinG)
	assert.Equal(t, e.Report().State, member.Loading)
	ready := New(Options{})
	ready.Order(joinG)
	before := ready.member.requestContext()
	ready.Order(joinG)
	assert.Equal(t, ready.Report().State, member.Ready)
	assert.NilError(t, before.Err())
	next := joinG
	next.Generation++
	ready.Order(next)
	assert.Assert(t, before.Err() != nil)
	assert.Equal(t, ready.Report().Generation, uint64(4))
}

func TestColdOverloadIsCounted(t *testing.T) {
	e, url := start(t, Options{MaxInFlight: 4, ColdInFlight: 1, CollapseTime: time.Hour})
	e.Order(joinG)
	e.SetFaults(Faults{Hang: true, Times: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if resp, err := call(ctx, url, 3, 0, true); err == nil {
			_ = resp.Body.Close()
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return check(e.meter.InFlight() == 1, "no request in flight")
	})
	resp, err := call(context.Background(), url, 3, 0, false)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	counts := e.Counts()
	assert.Equal(t, counts.Overloads, uint64(1))
	assert.Equal(t, counts.MaxColdInFlight, 2)
	assert.Equal(t, counts.ColdLimit, 1)

	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return check(e.Counts().Cancelled == 1, "request not counted as cancelled")
	})
}

func TestCrossedAnswerHasOtherAttempt(t *testing.T) {
	e, url := start(t, Options{})
	e.Order(joinG)
	e.SetFaults(Faults{Crossed: true})
	resp, err := call(context.Background(), url, 3, 0, false)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Assert(t, resp.Header.Get(endpoint.HeaderAttempt) != "attempt-1")
	var answer Answer
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&answer))
	assert.Equal(t, string(answer.Choices[0].Message.Content), ExpectedText("another request", 0))
}

func TestColdRestart(t *testing.T) {
	e := New(Options{})
	e.Order(joinG)
	before := e.Report()
	e.SetFaults(Faults{ColdRestart: true})
	after := e.Report()
	assert.Assert(t, before.Incarnation != after.Incarnation)
	assert.Equal(t, after.State, member.Idle)
	assert.Equal(t, after.Fence, member.Fence{})
}

func TestTextAcceptsStringAndParts(t *testing.T) {
	for _, content := range []string{`"ab"`, `["a","b"]`, `[{"type":"text","text":"a"},{"type":"text","text":"b"}]`} {
		var text Text
		assert.NilError(t, json.Unmarshal([]byte(content), &text))
		assert.Equal(t, string(text), "ab")
	}
}

func check(ok bool, message string) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("%s", message)
}
