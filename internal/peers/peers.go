// Package peers exchanges state and messages between entry VMs over twirp.
package peers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// callTimeout is the timeout of a call to another entry VM, except for Tell.
const callTimeout = 2 * time.Second

// Message is a typed value sent from one node to another.
type Message struct {
	Kind string
	Body []byte // JSON, of the type that belongs to Kind
}

// Handler handles the calls of other entry VMs.
type Handler interface {
	// Exchange returns the nodes of a view that are new or have changed for a
	// node of the data centre that knows the given counters.
	Exchange(dataCentre string, view gossip.View, known gossip.Counters) []gossip.Node
	// KnownVersions returns the counters that this node knows of the view for a
	// node of the data centre.
	KnownVersions(dataCentre string, view gossip.View) []gossip.ProcessVersion
	// Reports returns the results of this node's probes.
	Reports(req probe.Request) probe.Answer
	// ConfigurationSince returns the configuration changes after a number, or a
	// snapshot if the changes kept don't go back that far.
	ConfigurationSince(after uint64) ([]config.Change, *config.Snapshot)
	// Tell handles a message from the VM named from and returns the reply. A zero
	// Message means that there is none.
	Tell(ctx context.Context, from string, m Message) (Message, error)
}

// Server implements the twirp service over a Handler.
type Server struct {
	handler Handler
}

var _ peerspb.Peers = (*Server)(nil)

// NewServer returns the twirp service that calls h.
func NewServer(h Handler) *Server { return &Server{handler: h} }

// Exchange implements peerspb.Peers.
func (s *Server) Exchange(_ context.Context, req *peerspb.ExchangeRequest) (*peerspb.ExchangeResponse, error) {
	if !resolveProcesses(req, s.handler.KnownVersions(req.DataCentre, gossip.View(req.View))) {
		return &peerspb.ExchangeResponse{Unlisted: true}, nil
	}
	known, err := decodeCounters(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("versions", err.Error())
	}
	return encodeDelta(req, s.handler.Exchange(req.DataCentre, gossip.View(req.View), known)), nil
}

// Reports implements peerspb.Peers.
func (s *Server) Reports(_ context.Context, req *peerspb.ReportsRequest) (*peerspb.ReportsResponse, error) {
	return encodeReports(s.handler.Reports(probe.Request{Incarnation: req.ProberIncarnation, Version: req.Version})), nil
}

// FetchConfiguration implements peerspb.Peers.
func (s *Server) FetchConfiguration(_ context.Context, req *peerspb.FetchConfigurationRequest) (*peerspb.FetchConfigurationResponse, error) {
	changes, snapshot := s.handler.ConfigurationSince(req.After)
	resp := &peerspb.FetchConfigurationResponse{}
	for _, c := range changes {
		value, err := json.Marshal(c)
		if err != nil {
			return nil, errors.Trace(err)
		}
		resp.Changes = append(resp.Changes, value)
	}
	if snapshot == nil {
		return resp, nil
	}
	value, err := json.Marshal(snapshot)
	resp.Snapshot = value
	return resp, errors.Trace(err)
}

// Tell implements peerspb.Peers.
func (s *Server) Tell(ctx context.Context, req *peerspb.TellRequest) (*peerspb.TellResponse, error) {
	answer, err := s.handler.Tell(ctx, req.From, Message{Kind: req.Kind, Body: req.Body})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &peerspb.TellResponse{Kind: answer.Kind, Body: answer.Body}, nil
}

// Client calls other entry VMs. It is safe for concurrent use.
type Client struct {
	vm         string
	dataCentre string
	http       *transport.Client

	mu           sync.Mutex
	twirpClients map[string]peerspb.Peers // by address
}

// NewClient returns a client for the node with the given VM and data centre.
func NewClient(vm, dataCentre string, t *transport.Client) *Client {
	return &Client{vm: vm, dataCentre: dataCentre, http: t, twirpClients: map[string]peerspb.Peers{}}
}

// twirpClient returns the twirp client of an address, creating it on first use.
func (c *Client) twirpClient(address string) peerspb.Peers {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.twirpClients[address]
	if !ok {
		t = peerspb.NewPeersProtobufClient(c.http.URL(address), c.http)
		c.twirpClients[address] = t
	}
	return t
}

// Exchange returns the nodes of a view that the node at the address knows and that
// are newer than known. If the two nodes list different processes, it takes a
// second call, which names them.
func (c *Client) Exchange(ctx context.Context, address string, view gossip.View, known []gossip.ProcessVersion) ([]gossip.Node, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := newExchangeRequest(c.vm, c.dataCentre, view, known)
	resp, err := c.twirpClient(address).Exchange(ctx, req)
	if err == nil && resp.Unlisted {
		addProcesses(req, known)
		resp, err = c.twirpClient(address).Exchange(ctx, req)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "exchange with %s", address)
	}
	return decodeDelta(known, resp), nil
}

// Reports returns the results of the probes of the node at the address.
func (c *Client) Reports(ctx context.Context, address string, req probe.Request) (probe.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.twirpClient(address).Reports(ctx, &peerspb.ReportsRequest{
		ProberIncarnation: req.Incarnation, Version: req.Version,
	})
	if err != nil {
		return probe.Answer{}, errors.Annotatef(err, "reports from %s", address)
	}
	return decodeReports(resp), nil
}

// FetchConfiguration returns the configuration changes after a number, or a
// snapshot, from the node at the address.
func (c *Client) FetchConfiguration(ctx context.Context, address string, after uint64) ([]config.Change, *config.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.twirpClient(address).FetchConfiguration(ctx, &peerspb.FetchConfigurationRequest{After: after})
	if err != nil {
		return nil, nil, errors.Annotatef(err, "configuration from %s", address)
	}
	var changes []config.Change
	for _, value := range resp.Changes {
		var change config.Change
		if err := json.Unmarshal(value, &change); err != nil {
			return nil, nil, errors.Annotatef(err, "configuration from %s", address)
		}
		changes = append(changes, change)
	}
	if len(resp.Snapshot) == 0 {
		return changes, nil, nil
	}
	snapshot := &config.Snapshot{}
	err = json.Unmarshal(resp.Snapshot, snapshot)
	return changes, snapshot, errors.Annotatef(err, "configuration from %s", address)
}

// Tell sends a message to the node at the address and returns the reply. It
// propagates the trace context and has no timeout but that of ctx.
func (c *Client) Tell(ctx context.Context, address string, m Message) (Message, error) {
	resp, err := c.twirpClient(address).Tell(injectTrace(ctx), &peerspb.TellRequest{From: c.vm, Kind: m.Kind, Body: m.Body})
	if err != nil {
		return Message{}, errors.Annotatef(err, "%s to %s", m.Kind, address)
	}
	return Message{Kind: resp.Kind, Body: resp.Body}, nil
}
