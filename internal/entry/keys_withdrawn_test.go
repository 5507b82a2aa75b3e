package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// Guards against requests that run after the last key was withdrawn, and against a
// status that promises too much at a node that may lack a newer configuration. With no
// list of accounts, requests are served at any age.
func TestConfigurationWithoutValidKeysByAge(t *testing.T) {
	const ok, unauthorized, unavailable = http.StatusOK, http.StatusUnauthorized, http.StatusServiceUnavailable
	lists := map[string]catalog.Accounts{
		"none":    {},
		"empty":   catalog.AccountList(),
		"keyless": catalog.AccountList(catalog.Account{Name: "acc"}),
	}
	for _, test := range []struct {
		list, path, authorization string
		want                      [3]int // at an age of 0, 3 s and 5 s
	}{
		{"none", "/safe/", "Bearer key", [3]int{ok, ok, ok}},
		{"none", "/safe/", "", [3]int{ok, ok, ok}},
		{"none", "/open/", "Bearer key", [3]int{ok, ok, ok}},
		{"empty", "/safe/", "Bearer key", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/safe/", "Bearer", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/safe/", "", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/once/", "Bearer key", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/stream/", "Bearer key", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/open/", "Bearer key", [3]int{unauthorized, unavailable, unavailable}},
		{"empty", "/open/", "Bearer", [3]int{ok, ok, ok}},
		{"empty", "/open/", "", [3]int{ok, ok, ok}},
		{"keyless", "/safe/", "Bearer key", [3]int{unauthorized, unavailable, unavailable}},
		{"keyless", "/open/", "", [3]int{ok, ok, ok}},
	} {
		t.Run(fmt.Sprint(test.list, test.path, test.authorization), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newHarnessWith(t, newPipes(), 0)
				e := s.add(answerOK)
				s.configureAccounts(2, lists[test.list])
				for i, age := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
					s.clockOffset.Store(int64(age))
					before := e.runs.Load()
					status, _, header, err := s.do(s.request(http.MethodGet, test.path, "Authorization", test.authorization))
					assert.NilError(t, err)
					assert.Equal(t, status, test.want[i], "age %s", age)
					assert.Equal(t, e.runs.Load() > before, status == ok, "age %s", age)
					if status == unavailable {
						after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
						assert.NilError(t, err)
						assert.Assert(t, after > 0)
					}
				}
			})
		})
	}
}

// Guards against an empty key that counts as the key of an account.
func TestSchemeWithoutKeyIsNoKey(t *testing.T) {
	s := newHarness(t)
	e := s.add(answerOK)
	s.configureAccounts(2, catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"", "key"}}))
	for _, authorization := range []string{"Bearer", "Bearer ", "bearer", ""} {
		status, _, _, err := s.do(s.request(http.MethodGet, "/safe/", "Authorization", authorization))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusUnauthorized, authorization)
	}
	assert.Equal(t, e.runs.Load(), int32(0))
}

// Guards against a request that is refused although it was sent before its key was
// withdrawn: it runs, breaks off and is sent again as the configuration changes. The
// next request on its connection is refused.
func TestRequestsUnderWayAsTheLastKeyIsWithdrawn(t *testing.T) {
	for name, accounts := range map[string]catalog.Accounts{
		"key":    catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"key"}}),
		"no key": {},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newHarnessWith(t, newPipes(), 0)
				s.configureAccounts(2, accounts)
				first := true
				for range 2 {
					s.add(func(w http.ResponseWriter, r *http.Request) {
						if first {
							first = false
							s.configureAccounts(3, catalog.AccountList())
							abort(w, r)
						}
						answerOK(w, r)
					})
				}
				status, _, _, err := s.do(s.request(http.MethodGet, "/safe/"))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, !first)
				status, _, _, err = s.do(s.request(http.MethodGet, "/safe/"))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusUnauthorized)
			})
		})
	}
}

// Guards against a node that follows another one and serves withdrawn keys, because the
// relayed configuration doesn't say that there is an empty list.
func TestRelayedEmptyListOfAccounts(t *testing.T) {
	reader, follower := newHarness(t), newHarness(t)
	e := follower.add(answerOK)
	relay := func() {
		raw, err := json.Marshal(reader.state.Answer(follower.state.Position()))
		assert.NilError(t, err)
		var a updates.Answer
		assert.NilError(t, json.Unmarshal(raw, &a))
		follower.state.ApplyAnswer(follower.state.now(), true, a)
	}
	reader.state.VMs(reader.state.now(), updates.VMs{Version: 1, Whole: true})
	reader.configureAccounts(2, catalog.AccountList())
	relay()
	status, _, _, err := follower.do(follower.request(http.MethodGet, "/safe/"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Equal(t, e.runs.Load(), int32(0))
	reader.configureAccounts(3, catalog.Accounts{})
	relay()
	status, _, _, err = follower.do(follower.request(http.MethodGet, "/safe/"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a node that keeps for good what a node with earlier software made of an
// empty list: it reads the rows once more.
func TestUnstatedRuleForKeysIsReadAgain(t *testing.T) {
	s := newHarness(t)
	revision := s.state.Position().Operators
	assert.Assert(t, !revision.IsZero())
	var c catalog.Catalog
	assert.NilError(t, json.Unmarshal([]byte(`{"Version":2,"Accounts":[]}`), &c))
	s.state.ApplyAnswer(s.state.now(), true, updates.Answer{Known: true, Operators: &updates.Operators{Version: 2, Whole: true, Catalog: &c}})
	assert.Equal(t, s.state.View().Catalog.Keys(), catalog.KeysRequired)
	assert.Assert(t, s.state.Position().Operators.IsZero())
	s.state.Operators(s.state.now(), updates.Operators{Version: 3, Whole: true})
	assert.Assert(t, !s.state.Position().Operators.IsZero(), "the rows have no configuration: reading them again says no more")
}

// Guards against operators who don't learn that no request needs a key any more, or that
// no key is valid.
func TestChangeOfTheRuleForKeysIsLogged(t *testing.T) {
	var out bytes.Buffer
	now := time.Now()
	s := NewState(slog.New(slog.NewTextHandler(&out, nil)), func() time.Time { return now }, dispatch.Options{})
	account := catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"k1", "k2"}})
	version := int64(0)
	logged := func(accounts catalog.Accounts) string {
		out.Reset()
		version++
		s.Operators(now, updates.Operators{Version: uint64(version), Whole: true, Catalog: catalog.New(version, nil, nil, accounts, catalog.Limits{})})
		return out.String()
	}
	const changed, none = "rule for keys changed", "no key is valid"
	lines := logged(account)
	assert.Assert(t, strings.Contains(lines, "keys=required valid_keys=2") && !strings.Contains(lines, changed), lines)
	lines = logged(catalog.AccountList())
	assert.Assert(t, strings.Contains(lines, none) && strings.Contains(lines, "version=2") && !strings.Contains(lines, changed), lines)
	lines = logged(catalog.Accounts{})
	assert.Assert(t, strings.Contains(lines, "keys=ignored keys_before=required valid_keys=0 valid_keys_before=0"), lines)
	lines = logged(account)
	assert.Assert(t, strings.Contains(lines, "keys=required keys_before=ignored valid_keys=2") && !strings.Contains(lines, none), lines)
}

// Guards against keys that stay valid although the newest configuration, which can't be
// read, may have withdrawn them, and against routes without a key that end with them.
func TestConfigurationWhoseAccountsCannotBeRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newHarnessWith(t, newPipes(), 0)
		s.add(answerOK)
		get := func(path, authorization string) int {
			status, _, _, err := s.do(s.request(http.MethodGet, path, "Authorization", authorization))
			assert.NilError(t, err)
			return status
		}
		s.state.Operators(s.state.now(), updates.Operators{Version: 2, Unusable: &updates.Unusable{Version: 2, AccountsUnknown: true}})
		assert.Equal(t, get("/safe/", "Bearer key"), http.StatusOK, "within the bound for withdrawn keys")
		for range 5 {
			s.clockOffset.Add(int64(time.Second))
			s.state.Operators(s.state.now(), updates.Operators{Version: 2})
		}
		assert.Equal(t, get("/safe/", "Bearer key"), http.StatusServiceUnavailable)
		assert.Equal(t, get("/safe/", ""), http.StatusServiceUnavailable)
		assert.Equal(t, get("/open/", "Bearer key"), http.StatusServiceUnavailable)
		assert.Equal(t, get("/open/", ""), http.StatusOK)
		s.version = 2
		s.configure()
		assert.Equal(t, get("/safe/", "Bearer key"), http.StatusOK)
	})
}

// Guards against withdrawn keys that stay valid at a node which an earlier release sends
// a configuration that must not be used.
func TestAccountsOfARelayedUnusableConfiguration(t *testing.T) {
	s := newHarness(t)
	e := s.add(answerOK)
	odd := catalog.New(2, nil, nil, catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"new"}}), catalog.Limits{IdleTimeout: -1})
	s.state.ApplyAnswer(s.state.now(), true, updates.Answer{Known: true, Operators: &updates.Operators{Version: 2, Whole: true, Catalog: odd}})
	for key, want := range map[string]int{"key": http.StatusUnauthorized, "new": http.StatusOK} {
		status, _, _, err := s.do(s.request(http.MethodGet, "/safe/", "Authorization", "Bearer "+key))
		assert.NilError(t, err)
		assert.Equal(t, status, want, key)
	}
	assert.Equal(t, e.runs.Load(), int32(1))
}
