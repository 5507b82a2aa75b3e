package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Kind is how often a request of a route may run.
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

// Backend is one service of a route and its weight in the traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route maps the requests for a host whose path begins with Prefix to one of its
// backends.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Backends is never empty.
	Backends []Backend
	// Timeout bounds the time from the request to its complete answer; 0 means
	// no bound.
	Timeout time.Duration
	// Objective is the operator's objective for the time to the answer, or to a
	// stream's first event.
	Objective time.Duration
	// PauseObjective is the operator's objective for the longest pause between
	// events of a stream.
	PauseObjective time.Duration
	// MaxAttempts bounds the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	// Public is whether requests need no key.
	Public bool
	// Resumable is whether a stream may continue at another endpoint.
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
	// ColdPerSecond is the number of requests per second that a cold endpoint
	// can take; 0 means that the service has no cold start.
	ColdPerSecond float64
	// ColdTime is how long an endpoint is cold at most; 0 means unknown.
	ColdTime time.Duration
	// HealthPath is the path at which an endpoint says whether it is cold; empty means
	// unknown.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes a service whose endpoints are groups of VMs that run a
// model.
type Engine struct {
	// Slots is the number of requests that a group runs at once.
	Slots  int
	Models []Model
	// LoadsPerSecond bounds the rate at which loads from the weight store are
	// started. ConcurrentLoads is the number of them that run at full speed.
	LoadsPerSecond  float64
	ConcurrentLoads int
	// FormTime is the time from the order to serve until the group serves.
	FormTime time.Duration
	// ReportLag is the age of the figures in an engine's report.
	ReportLag time.Duration
	// MeanPrompt and MeanAnswer are the usual numbers of tokens of a prompt and of
	// an answer; 0 means unknown.
	MeanPrompt float64
	MeanAnswer float64

	// The following figures are the engine's times at a pace of 1; 0 means unknown.
	// Nodes with earlier software ignore them.

	// StepTime is the time of a token step, RequestTime what each request that is
	// being answered adds to it, and ContextTime what each 1,000 tokens of such
	// requests' prompts and answers add.
	StepTime    time.Duration
	RequestTime time.Duration
	ContextTime time.Duration
	// ReadRate is the number of prompt tokens read in a second. PairTime is added
	// for each million pairs of a token and an earlier one of the prompt.
	ReadRate float64
	PairTime time.Duration
	// Chunk bounds the prompt tokens that are read in a step.
	Chunk int
	// Stride is the number of steps of a pass in which requests are answered.
	Stride int
	// TokenCapacity is the number of tokens that fit in the memory of an engine.
	TokenCapacity int
}

// Model describes a model and the groups that run it.
type Model struct {
	Name string
	// GroupSize is the number of VMs of a group.
	GroupSize int
	// Pace is a factor on the engine's times.
	Pace float64
	// Share is the model's expected share of the work.
	Share float64
	// LoadTime is the duration of a load from the weight store, WarmTime that of
	// a load from the host.
	LoadTime, WarmTime time.Duration
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Limits bounds what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the configuration in force.
type Catalog struct {
	Version  int64
	Limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	accounts map[string]*Account // by key
	// keyed is whether requests need a key, except on public routes.
	keyed bool
	// ranks are the ranks in use for each ranked service, in ascending order, and
	// accountRanks those of the accounts that have one, by name.
	ranks        map[string][]int
	accountRanks map[string]int
	spec         spec
}

// spec is the content of a catalog and its JSON form.
type spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keys is the rule for keys. Nodes with earlier software ignore it and leave it
	// out: they require keys if there are accounts.
	Keys   KeyRule `json:",omitempty"`
	Limits Limits
}

// MarshalJSON implements json.Marshaler.
func (c *Catalog) MarshalJSON() ([]byte, error) { return json.Marshal(c.spec) }

// UnmarshalJSON implements json.Unmarshaler.
func (c *Catalog) UnmarshalJSON(data []byte) error {
	var s spec
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	*c = *build(s)
	return nil
}

// New returns a catalog.
func New(version int64, routes []Route, services []Service, accounts Accounts, limits Limits) *Catalog {
	s := spec{Version: version, Routes: routes, Services: services, Accounts: accounts.list, Keys: accounts.rule(), Limits: limits}
	if accounts.listed && len(s.Accounts) == 0 {
		s.Accounts = unnamed
	}
	return build(s)
}

// build returns a catalog with the given content.
func build(s spec) *Catalog {
	c := &Catalog{
		Version:  s.Version,
		Limits:   s.Limits,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(s.Services)),
		keyed:    s.requiresKeys(),
		spec:     s,
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	c.indexKeys()
	c.indexRanks()
	return c
}

// Match returns the route for a request, or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// NamesService reports whether the configuration has the service or a route to it.
func (c *Catalog) NamesService(name string) bool {
	return c.services[name] != nil || len(c.ServiceRoutes(name)) > 0
}

// Engines returns the services that run models, sorted by name.
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

// ServiceRoutes returns the routes that have the service as a backend.
func (c *Catalog) ServiceRoutes(service string) []*Route {
	var out []*Route
	for i := range c.spec.Routes {
		r := &c.spec.Routes[i]
		if slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service }) {
			out = append(out, r)
		}
	}
	return out
}

// PickService returns the service for a request according to draw, a random number, so
// that each backend receives requests in proportion to its weight.
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
