package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// recordHeaders adds an endpoint that keeps the header of the latest request.
func (s *harness) recordHeaders() *http.Header {
	var got http.Header
	s.add(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		answerOK(w, r)
	})
	return &got
}

// configureAccounts publishes a configuration with the harness's routes and the given
// accounts.
func (s *harness) configureAccounts(version int64, accounts catalog.Accounts) {
	cat := catalog.New(version, s.routes, []catalog.Service{{Name: "shop"}}, accounts, catalog.Limits{MaxBodyBytes: 1000})
	s.state.Operators(s.state.now(), updates.Operators{Version: uint64(version), Catalog: cat, Whole: true, Evacuated: map[string]bool{}})
}

// Guards against a caller's key that goes on to an endpoint: on a public route, or in
// any field that a proxy keeps or drops by its own rules.
func TestKeyIsNeverForwarded(t *testing.T) {
	for name, header := range map[string]http.Header{
		"bearer":         {"Authorization": {"Bearer key"}},
		"lower case":     {"authorization": {"bearer key"}},
		"two fields":     {"Authorization": {"Bearer key", "Bearer key"}},
		"no scheme":      {"Authorization": {"key"}},
		"other scheme":   {"Authorization": {"Basic key"}},
		"to the proxy":   {"Authorization": {"Bearer key"}, "Proxy-Authorization": {"Bearer key"}},
		"per connection": {"Authorization": {"Bearer key"}, "Connection": {"authorization"}},
	} {
		for accounts, list := range map[string]catalog.Accounts{"accounts": catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"key"}}), "no accounts": {}} {
			t.Run(name+" "+accounts, func(t *testing.T) {
				s := newHarness(t)
				got := s.recordHeaders()
				s.configureAccounts(2, list)
				req := s.request(http.MethodGet, "/open/")
				req.Header.Del("Authorization")
				for field, values := range header {
					req.Header[field] = values
				}
				status, _, _, err := s.do(req)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				for field, values := range *got {
					assert.Assert(t, !holdsKey(values), "%s: %q", field, values)
				}
			})
		}
	}
}

// holdsKey reports whether any of the values is or ends in the caller's key.
func holdsKey(values []string) bool {
	for _, v := range values {
		if len(v) >= 3 && v[len(v)-3:] == "key" {
			return true
		}
	}
	return false
}

// Guards against a request that runs under no account although its key has one: the
// route needs a key in a configuration that this node doesn't have yet.
func TestKeyOnAPublicRouteNamesItsAccount(t *testing.T) {
	s := newHarness(t)
	got := s.recordHeaders()
	status, _, _, err := s.do(s.request(http.MethodGet, "/open/", "X-Account", "forged"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, got.Get("X-Account"), "acc")
	status, _, _, err = s.do(s.request(http.MethodGet, "/open/", "Authorization", "", "X-Account", "forged"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, got.Get("X-Account"), "", "no key, no account")
}

// Guards against a request that runs although nobody knows whose key it bears, or
// whether that key was taken away.
func TestKeyOnAPublicRouteIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		key  string
		age  time.Duration
		want int
	}{
		"unknown":                              {"Bearer other", 0, http.StatusUnauthorized},
		"unknown, old configuration":           {"Bearer other", 3 * time.Second, http.StatusServiceUnavailable},
		"known, old configuration":             {"Bearer key", 5 * time.Second, http.StatusServiceUnavailable},
		"none, old configuration":              {"", 5 * time.Second, http.StatusOK},
		"other credentials, old configuration": {"Basic other", 5 * time.Second, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newHarnessWith(t, newPipes(), 0)
				e := s.add(answerOK)
				s.clockOffset.Store(int64(c.age))
				status, _, _, err := s.do(s.request(http.MethodGet, "/open/", "Authorization", c.key))
				assert.NilError(t, err)
				assert.Equal(t, status, c.want)
				assert.Equal(t, e.runs.Load() > 0, c.want == http.StatusOK)
			})
		})
	}
}

// Guards against a request that is refused, or sent under an account, where a
// configuration has no accounts.
func TestKeyWithoutAccountsIsIgnored(t *testing.T) {
	s := newHarness(t)
	got := s.recordHeaders()
	s.configureAccounts(2, catalog.Accounts{})
	for _, path := range []string{"/open/", "/safe/"} {
		status, _, _, err := s.do(s.request(http.MethodGet, path))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, got.Get("X-Account"), "")
	}
	s.configureAccounts(3, catalog.AccountList(catalog.Account{Name: "later", Keys: []string{"key"}}))
	status, _, _, err := s.do(s.request(http.MethodGet, "/safe/"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, got.Get("X-Account"), "later")
}
