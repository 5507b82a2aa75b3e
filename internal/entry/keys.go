package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// authenticate sets the client account of the request's key. A key is also checked on
// a public route, where none is needed: the route may need one in a configuration
// that this node doesn't have yet. If the catalog may be outdated, it returns
// staleCatalog instead of Unauthorized.
func (s *Server) authenticate(req *request, r *http.Request, view *View) *problem.Error {
	key, sent := s.key(r)
	needed := view.Catalog.NeedsKey(req.route)
	if !needed && (!sent || view.Catalog.Keys() == catalog.KeysIgnored) {
		return nil
	}
	age := req.started.Sub(view.AsOf)
	if age > s.opts.KeysValidFor {
		return staleCatalog(age)
	}
	account := view.Catalog.Account(key)
	if account == nil || !sent {
		if age > s.opts.UnknownAfter {
			return staleCatalog(age)
		}
		return problem.New(problem.Unauthorized, "the key does not belong to any account", "send a valid key")
	}
	req.account = account.Name
	return nil
}

// key returns the key that the request bears. sent is false if it has no credentials
// or others, or names the scheme alone.
func (s *Server) key(r *http.Request) (key string, sent bool) {
	scheme, key, _ := strings.Cut(r.Header.Get(s.proto.Authorization), " ")
	return key, key != "" && strings.EqualFold(scheme, s.proto.KeyScheme)
}

// staleCatalog returns the problem for a catalog that may be outdated.
func staleCatalog(age time.Duration) *problem.Error {
	return problem.New(problem.PlatformDown,
		"the configuration was last known to be the newest "+age.Round(time.Millisecond).String()+" ago",
		"retry, if possible through another data centre").WithRetryAfter(time.Second)
}

// keysValid reports whether the catalog is recent enough to accept the request's
// key. Requests without an account need none.
func (s *Server) keysValid(req *request) bool {
	view := s.state.View()
	if req.account == "" {
		return true
	}
	return s.now().Sub(view.AsOf) <= s.opts.KeysValidFor
}
