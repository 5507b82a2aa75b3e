package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// fakeBackend returns its targets in order and records the needs and outcomes of
// the attempts.
type fakeBackend struct {
	targets  []Target
	outcomes []Outcome
	needs    []Requirements
}

func (b *fakeBackend) ClientAccount(string) (inventory.ClientAccount, bool) {
	return inventory.ClientAccount{Name: "archive"}, true
}
func (b *fakeBackend) AccountByName(name string) (inventory.ClientAccount, bool) {
	return inventory.ClientAccount{Name: name}, true
}
func (b *fakeBackend) Models() []string { return []string{"m"} }
func (b *fakeBackend) Service(string) (inventory.Service, bool) {
	return inventory.Service{Name: "shop", Routes: []inventory.Route{
		{Method: http.MethodPost, Prefix: "/orders", NotRunStatuses: []int{http.StatusServiceUnavailable}},
		{Method: http.MethodPost, Prefix: "/orders/quote", Idempotent: true},
	}}, true
}
func (b *fakeBackend) Admit(context.Context, Requirements) (Admission, error) { return b, nil }
func (b *fakeBackend) Release()                                               {}
func (b *fakeBackend) Keyed(KeyedRequest) KeyedCall                           { return nil }
func (b *fakeBackend) IssueKey() (key string, valid time.Duration)            { return "", 0 }
func (b *fakeBackend) Ready() *problem.Error                                  { return nil }

func (b *fakeBackend) Dispatch(need Requirements) (Attempt, error) {
	b.needs = append(b.needs, need)
	if len(b.targets) == 0 {
		return nil, problem.New(problem.Overloaded, "full", "retry").WithRetryAfter(time.Second)
	}
	t := b.targets[0]
	b.targets = b.targets[1:]
	return &fakeAttempt{b, t, fmt.Sprint("a-", len(b.needs))}, nil
}

type fakeAttempt struct {
	backend *fakeBackend
	target  Target
	id      string
}

func (a *fakeAttempt) ID() string       { return a.id }
func (a *fakeAttempt) Target() Target   { return a.target }
func (a *fakeAttempt) FirstByte(string) {}
func (a *fakeAttempt) Done(o Outcome)   { a.backend.outcomes = append(a.backend.outcomes, o) }

func newTestServer(b Backend, log io.Writer) *Server {
	plain := transport.New(nil)
	plain.Transport = &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: bodylimit.MaxHead} // dials without a timeout, which a busy machine could exceed
	client := endpoint.NewClient(plain)
	return New(Options{
		VM: "e1", Backend: b, Endpoints: client, Peers: client,
		Logger: slog.New(slog.NewTextHandler(log, nil)), Registry: metrics.NewRegistry(),
		Tracer: noop.NewTracerProvider().Tracer(""), MaxBody: 1024, MaxTimeout: 5 * time.Second, MaxRetries: 2,
	})
}

func do(s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret-key")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.CallerHandler().ServeHTTP(w, r)
	return w
}

func TestInvalidRequestsAreRejectedAsNotRun(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           []string
		status           int
	}{
		{"no key", "/v1/completions", `{"model":"m"}`, []string{"Authorization", ""}, http.StatusUnauthorized},
		{"unknown model", "/v1/completions", `{"model":"x"}`, nil, http.StatusNotFound},
		{"malformed", "/v1/completions", `{"model":`, nil, http.StatusBadRequest},
		{"no model", "/v1/chat/completions", `{}`, nil, http.StatusBadRequest},
		{"large", "/v1/completions", strings.Repeat("x", 1025), nil, http.StatusRequestEntityTooLarge},
		{"timeout", "/v1/completions", `{"model":"m"}`, []string{headerTimeout, "soon"}, http.StatusBadRequest},
		{"negative timeout", "/v1/completions", `{"model":"m"}`, []string{headerTimeout, "-1"}, http.StatusBadRequest},
		{"long key", "/services/shop/orders", `{}`, []string{headerIdempotencyKey, strings.Repeat("k", 256)}, http.StatusBadRequest},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			b := &fakeBackend{}
			w := do(newTestServer(b, &log), http.MethodPost, tc.path, tc.body, tc.header...)
			assert.Equal(t, w.Code, tc.status, w.Body)
			assert.Equal(t, w.Header().Get("Content-Type"), problemContentType)
			assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"no"`), w.Body)
			assert.Equal(t, len(b.needs), 0)
			assert.Assert(t, !strings.Contains(log.String(), "secret-key"), log.String())
		})
	}
}

// newStatusTarget returns a target that answers each call with the status.
func newStatusTarget(t *testing.T, status int) Target {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
	}))
	t.Cleanup(srv.Close)
	return Target{Endpoint: "s1", Address: strings.TrimPrefix(srv.URL, "http://")}
}

// newUnreachableTarget returns a target that refuses connections. Its socket is bound
// but doesn't listen, so that nobody else gets the port before the test ends.
func newUnreachableTarget(t *testing.T) Target {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return Target{Endpoint: "dead", Address: fmt.Sprint("127.0.0.1:", address.(*unix.SockaddrInet4).Port)}
}

// newAbortingTarget returns a target that accepts a call and closes the connection
// without a response.
func newAbortingTarget(t *testing.T) Target {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(srv.Close)
	return Target{Endpoint: "breaking", Address: strings.TrimPrefix(srv.URL, "http://")}
}

func TestRetriesDependOnWhetherTheCallMayHaveRun(t *testing.T) {
	good := newStatusTarget(t, http.StatusOK)
	refusing := newStatusTarget(t, http.StatusServiceUnavailable)
	tests := []struct {
		name, method, path string
		targets            []Target
		status             int
		ran                string
		outcomes           []Outcome
	}{
		{"not sent", http.MethodPost, "/orders", []Target{newUnreachableTarget(t), good}, http.StatusOK, "", []Outcome{NotSent, Succeeded}},
		{"refused", http.MethodPost, "/orders", []Target{refusing, good}, http.StatusOK, "", []Outcome{Refused, Succeeded}},
		{"broken", http.MethodPost, "/orders", []Target{newAbortingTarget(t), good}, http.StatusBadGateway, "unknown", []Outcome{Failed}},
		{"broken but idempotent", http.MethodPost, "/orders/quote", []Target{newAbortingTarget(t), good}, http.StatusOK, "", []Outcome{Failed, Succeeded}},
		{"broken twice", http.MethodGet, "/orders/1", []Target{newAbortingTarget(t), newAbortingTarget(t), good}, http.StatusBadGateway, "unknown", []Outcome{Failed, Failed}},
		{"broken read", http.MethodGet, "/orders/1", []Target{newAbortingTarget(t), good}, http.StatusOK, "", []Outcome{Failed, Succeeded}},
		{"broken, then not sent", http.MethodGet, "/orders/1", []Target{newAbortingTarget(t), newUnreachableTarget(t), newUnreachableTarget(t)}, http.StatusServiceUnavailable, "unknown", []Outcome{Failed, NotSent, NotSent}},
		{"never sent", http.MethodPost, "/orders", []Target{newUnreachableTarget(t), newUnreachableTarget(t), newUnreachableTarget(t), good}, http.StatusServiceUnavailable, "no", []Outcome{NotSent, NotSent, NotSent}},
		{"nowhere", http.MethodPost, "/orders", nil, http.StatusServiceUnavailable, "no", nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := &fakeBackend{targets: tc.targets}
			w := do(newTestServer(b, io.Discard), tc.method, "/services/shop"+tc.path, `{}`)
			assert.Equal(t, w.Code, tc.status, w.Body)
			assert.DeepEqual(t, b.outcomes, tc.outcomes)
			if tc.ran != "" {
				assert.Assert(t, strings.Contains(w.Body.String(), `"ran":"`+tc.ran+`"`), w.Body)
			}
			if tc.ran == "no" {
				assert.Equal(t, w.Header().Get("Retry-After"), "1")
			}
		})
	}
}

func TestForwardedRequestsAreServedLocally(t *testing.T) {
	good := newStatusTarget(t, http.StatusOK)
	b := &fakeBackend{targets: []Target{good}}
	r := httptest.NewRequest(http.MethodPost, ForwardPrefix+"/services/shop/orders", strings.NewReader(`{}`))
	r.Header.Set(headerAccount, "archive")
	r.Header.Set(headerForward, forwardAttempt)
	r.Header.Set(headerIdempotencyKey, "k")
	r.Header.Set(headerExclude, "s7,s8")
	w := httptest.NewRecorder()
	newTestServer(b, io.Discard).ForwardHandler().ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK, w.Body)
	assert.Assert(t, b.needs[0].Forwarded)
	assert.DeepEqual(t, b.needs[0].Exclude, []string{"s7", "s8"})
}

func TestCallersCannotUseForwardPath(t *testing.T) {
	b := &fakeBackend{}
	w := do(newTestServer(b, io.Discard), http.MethodPost, ForwardPrefix+"/services/shop/orders", `{}`, headerAccount, "archive")
	assert.Equal(t, w.Code, http.StatusNotFound)
	assert.Equal(t, len(b.needs), 0)
}
