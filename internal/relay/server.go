package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/relay/relaypb"
)

// Responder tells other nodes what this one knows.
type Responder interface {
	Answer(after news.Position) news.Answer
	// AddRequester tells of a node that asks.
	AddRequester(n news.Node)
}

// Handler returns the twirp service that answers from t.
func Handler(t Responder) http.Handler { return relaypb.NewRelayServer(service{t}) }

type service struct{ teller Responder }

// Ask implements relaypb.Relay.
func (s service) Ask(_ context.Context, req *relaypb.AskRequest) (*relaypb.AskResponse, error) {
	if req.Vm != "" && req.Address != "" {
		s.teller.AddRequester(news.Node{VM: req.Vm, DataCentre: req.DataCentre, Address: req.Address})
	}
	answer := s.teller.Answer(position(req))
	raw, err := json.Marshal(answer)
	return &relaypb.AskResponse{Answer: raw}, errors.Trace(err)
}

// position returns what the node that asks has.
func position(req *relaypb.AskRequest) news.Position {
	p := news.Position{Operators: req.Operators, VMs: req.Vms, Mark: req.Reports, Lease: req.Lease, ReceivedVMs: req.Told}
	for _, s := range req.Suspects {
		p.Suspects = append(p.Suspects, news.Suspect{VM: s.Vm, Age: time.Duration(s.AgeNs)})
	}
	return p
}
