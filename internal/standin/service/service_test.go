package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

func post(t *testing.T, url, body, key string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url+OrdersPath, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderIdempotencyKey, key)
	req.Header.Set(endpoint.HeaderAttempt, "attempt-1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

func TestRepeatedOrderRunsAgainAndIsCounted(t *testing.T) {
	s := New(Options{VM: "s1"})
	server := httptest.NewServer(s)
	defer server.Close()
	for range 2 {
		resp, err := post(t, server.URL, `{"order_id":"o1","item":"cotton","quantity":2}`, "k1")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Header.Get(endpoint.HeaderAttempt), "attempt-1")
	}
	runs := s.Runs()
	assert.Equal(t, runs.Doubles, 1)
	assert.DeepEqual(t, runs.Orders, []Run{{OrderID: "o1", IdempotencyKey: "k1", Runs: 2, Attempts: []string{"attempt-1", "attempt-1"}}})

	resp, err := http.Get(server.URL + OrdersPath + "/o1")
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

func TestOrderRunsUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		status int // 0 for a closed connection
		runs   int
	}{
		{"dies after running", Faults{DieAfterRunning: true, Times: 1}, 0, 1},
		{"refuses", Faults{Refuse: true}, http.StatusServiceUnavailable, 0},
		{"late", Faults{AnswerLateMS: 20}, http.StatusOK, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Options{})
			server := httptest.NewServer(s)
			defer server.Close()
			s.SetFaults(tc.faults)
			resp, err := post(t, server.URL, `{}`, "k1")
			if tc.status == 0 {
				assert.Assert(t, err != nil)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, tc.status)
			}
			assert.Equal(t, s.Runs().Total, tc.runs)
		})
	}
}
