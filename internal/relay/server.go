package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/relay/relaypb"
)

// Responder answers the requests of other nodes.
type Responder interface {
	// Answer returns the updates after a position.
	Answer(after updates.Position) updates.Answer
	// AddRequester is called with each node that sends a request.
	AddRequester(n updates.Node)
}

// Handler returns the twirp service that answers requests with r.
func Handler(r Responder) http.Handler { return relaypb.NewRelayServer(service{r}) }

type service struct{ responder Responder }

// Ask implements relaypb.Relay.
func (s service) Ask(_ context.Context, req *relaypb.AskRequest) (*relaypb.AskResponse, error) {
	if req.Vm != "" && req.Address != "" {
		s.responder.AddRequester(updates.Node{VM: req.Vm, DataCentre: req.DataCentre, Address: req.Address})
	}
	position, err := decodePosition(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("position", err.Error())
	}
	answer := s.responder.Answer(position)
	raw, err := json.Marshal(answer)
	return &relaypb.AskResponse{Answer: raw}, errors.Trace(err)
}

// decodePosition returns the position in a request.
func decodePosition(req *relaypb.AskRequest) (updates.Position, error) {
	p := updates.Position{
		Operators: updates.Revision{Era: req.OperatorsEra, Version: req.Operators}, VMs: updates.Revision{Era: req.VmsEra, Version: req.Vms},
		Lease: updates.Revision{Era: req.LeaseEra, Version: req.Lease}, ReceivedVMs: updates.Revision{Era: req.ToldEra, Version: req.Told},
		CatalogVersion: req.CatalogVersion, Mark: req.Reports, VM: req.Vm, Demand: req.Demand,
	}
	for _, s := range req.Suspects {
		p.Suspects = append(p.Suspects, updates.Suspect{VM: s.Vm, Age: time.Duration(s.AgeNs)})
	}
	if len(req.Catalog) > 0 {
		if err := json.Unmarshal(req.Catalog, &p.Catalog); err != nil {
			return p, err
		}
	}
	if len(req.Learned) == 0 {
		return p, nil
	}
	return p, json.Unmarshal(req.Learned, &p.Learned)
}
