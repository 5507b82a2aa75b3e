package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// refusingBackend admits no request.
type refusingBackend struct {
	fakeBackend
	err error
}

func (b *refusingBackend) Admit(context.Context, Requirements) (Admission, error) { return nil, b.err }

// keyedBackend answers a call with an idempotency key with a stored answer.
type keyedBackend struct {
	fakeBackend
	stored StoredAnswer
}

func (b *keyedBackend) Keyed(KeyedRequest) KeyedCall { return b }

// Next implements KeyedCall.
func (b *keyedBackend) Next(context.Context) (Step, error) {
	return Step{Kind: StepAnswer, Recorded: b.stored}, nil
}
func (b *keyedBackend) Settle(Outcome, StoredAnswer, *problem.Error) {}
func (b *keyedBackend) ForwardFailed(Outcome)                        {}
func (b *keyedBackend) Close()                                       {}

// Guards against a call that ran at a service and is answered with that service's
// status, by which the caller may send it again.
func TestCallThatRanIsNotAnsweredAsNotRun(t *testing.T) {
	for _, sent := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			b := &fakeBackend{targets: []Target{newStatusTarget(t, sent)}}
			w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/returns", `{}`)
			assert.Equal(t, w.Code, http.StatusBadGateway, w.Body)
			assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"unknown"`), w.Body)
			assert.DeepEqual(t, b.outcomes, []Outcome{Succeeded})
		})
	}
}

// Guards against the same promise in the stored answer to a call with a key.
func TestStoredAnswerPromisesNothing(t *testing.T) {
	b := &keyedBackend{stored: StoredAnswer{Status: http.StatusServiceUnavailable, Header: http.Header{}}}
	w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/returns", `{}`, headerIdempotencyKey, "k")
	assert.Equal(t, w.Code, http.StatusBadGateway, w.Body)
	assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"unknown"`), w.Body)
}

// Guards against a problem whose status promises what its field "ran" denies.
func TestProblemOfACallThatMayHaveRunPromisesNothing(t *testing.T) {
	for ran, status := range map[problem.Ran]int{problem.RanNo: http.StatusServiceUnavailable, problem.RanUnknown: http.StatusBadGateway} {
		refusal := problem.New(problem.Overloaded, "full", "retry")
		refusal.Ran = ran
		b := &refusingBackend{err: refusal}
		w := do(newTestServer(b, io.Discard), http.MethodPost, "/services/shop/returns", `{}`)
		assert.Equal(t, w.Code, status, w.Body)
		assert.Assert(t, strings.Contains(w.Body.String(), fmt.Sprintf(`"status":%d`, status)), w.Body)
	}
}

// Guards against an entry VM that keeps from another one what a service has answered:
// the one that the caller asked stores that answer and decides on its status.
func TestForwardedCallReturnsTheServicesAnswer(t *testing.T) {
	b := &fakeBackend{targets: []Target{newStatusTarget(t, http.StatusServiceUnavailable)}}
	r := httptest.NewRequest(http.MethodPost, ForwardPrefix+"/services/shop/returns", strings.NewReader(`{}`))
	r.Header.Set(headerAccount, "archive")
	r.Header.Set(headerForward, forwardAttempt)
	w := httptest.NewRecorder()
	newTestServer(b, io.Discard).ForwardHandler().ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable, w.Body)
	assert.Equal(t, w.Header().Get(headerProblem), "")
}

// Guards against worse answers to calls that may be repeated.
func TestFailureOfARepeatableCallIsDelivered(t *testing.T) {
	b := &fakeBackend{targets: []Target{newStatusTarget(t, http.StatusServiceUnavailable)}}
	w := do(newTestServer(b, io.Discard), http.MethodGet, "/services/shop/returns/1", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable, w.Body)
	assert.Equal(t, w.Header().Get(headerProblem), "")
}
