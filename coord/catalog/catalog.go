package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once marks requests that run at most once.
	Once Kind = "once"
	// Stream marks requests that are answered by a stream of events.
	Stream Kind = "stream"
)

// Backend is one service of a route and its part of the traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route sends the requests of a host whose path begins with Prefix to one of
// its backends.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends are never empty.
	Backends []Backend
	// Timeout bounds the time from the request to its whole answer; 0 means
	// no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event,
	// that the operator aims at.
	Objective time.Duration
	// PauseObjective is the longest pause between events of a stream that
	// the operator aims at.
	PauseObjective time.Duration
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Priority ranks the route; 0 goes first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after an attempt
// that may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConns bounds the connections to one endpoint from all callers; 0
	// means no bound.
	MaxConns int
	// ColdPerSecond is how many requests a second a cold endpoint bears; 0
	// means that the service has no cold start.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes a service whose endpoints are groups of VMs that run a
// model.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots  int
	Models []Model
	// LoadsPerSecond bounds the starts of loads from the weight store;
	// ConcurrentLoads is how many run at full speed.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// FormTime is the time from the order to serve until a group serves.
	FormTime time.Duration
	// ReportLag is the age of the figures in an engine's report.
	ReportLag time.Duration
	// MeanPrompt is the usual number of tokens of a prompt.
	MeanPrompt float64
}

// Model is a model and what a group of it takes.
type Model struct {
	Name string
	// GroupSize is the number of VMs of a group.
	GroupSize int
	// Pace multiplies the engine's times.
	Pace float64
	// Share is the model's expected part of the work.
	Share float64
	// LoadTime is a load from the weight store, WarmTime one from the host.
	LoadTime, WarmTime time.Duration
}

// Model returns the model of that name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of what operators have put in force.
type Catalog struct {
	Version  int64
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	accounts map[string]*Account // by key
	keyed    bool
	spec     spec
}

// spec is what a catalog is built from, and its form in JSON.
type spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// MarshalJSON implements json.Marshaler.
func (c *Catalog) MarshalJSON() ([]byte, error) { return json.Marshal(c.spec) }

// UnmarshalJSON implements json.Unmarshaler.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	var s spec
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	*c = *New(s.Version, s.Routes, s.Services, s.Accounts, s.Limits)
	return nil
}

// New builds a catalog.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Limits:   limits,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		accounts: make(map[string]*Account),
		keyed:    len(accounts) > 0,
		spec:     spec{Version: version, Routes: routes, Services: services, Accounts: accounts, Limits: limits},
	}
	for i := range routes {
		r := &routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			c.accounts[key] = &accounts[i]
		}
	}
	return c
}

// Match returns the route of a request, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route carry an account's key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// Account returns the account that holds the key, or nil.
func (c *Catalog) Account(key string) *Account { return c.accounts[key] }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Engines returns the services that run models, by name.
func (c *Catalog) Engines() []*Service {
	var out []*Service
	for _, s := range c.services {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// PickService returns the backend of a request by a number drawn for it, so that
// the backends get requests by their weights.
func (r *Route) PickService(draw uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	left := int(draw % uint64(total))
	for _, b := range r.Backends {
		left -= b.Weight
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
