package ingress

import "github.com/pimentoshore/pimentoshore/internal/telemetry"

const (
	// While more than the fraction shortNumerator/shortDivisor of the connections is in
	// use, one holder may have at most the fraction 1/holderDivisor of them.
	shortNumerator = 3
	shortDivisor   = 4
	holderDivisor  = 2
)

// Claim counts the connection for a holder, a client account or a remote address, until
// its requests have ended. It returns false if connections are short and the holder
// has half of them already: the request must be refused then.
func (c *Conn) Claim(holder string) bool {
	if c == nil {
		return true
	}
	return c.set.claim(c, holder)
}

func (s *Connections) claim(c *Conn, holder string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimant != "" || holder == "" {
		return true
	}
	short := len(s.conns) > s.opts.Max*shortNumerator/shortDivisor
	if short && s.claims[holder] >= max(1, s.opts.Max/holderDivisor) {
		telemetry.Counter(s.opts.Metrics, "requests_refused_connections_total").Inc(1)
		return false
	}
	c.claimant = holder
	s.claims[holder]++
	return true
}

// unclaim ends a claim of a holder, if that is not empty.
func (s *Connections) unclaim(holder string) {
	if holder == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims[holder]--
	if s.claims[holder] <= 0 {
		delete(s.claims, holder)
	}
}
