package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
)

const (
	defaultOperators = "127.0.0.1:7001"
	operatorTimeout  = 5 * time.Second
	maxStatusBytes   = 64 << 20
)

// operatorAccess holds the addresses and TLS files for the operators' interface
// of the daemons.
type operatorAccess struct {
	addresses     []string
	ca, cert, key string
}

func (a *app) operatorFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&a.access.addresses, "operators", []string{defaultOperators}, "operators' addresses of entry VMs, tried in turn")
	cmd.Flags().StringVar(&a.access.ca, "ca", "", "PEM file of the authority that signed the daemons' certificates")
	cmd.Flags().StringVar(&a.access.cert, "cert", "", "PEM file of the operator's certificate")
	cmd.Flags().StringVar(&a.access.key, "key", "", "PEM file of the operator's key")
	cmd.MarkFlagsRequiredTogether("ca", "cert", "key")
}

// operatorClient calls the operators' interface of the daemons.
type operatorClient struct {
	scheme    string
	addresses []string
	http      *http.Client
	// lastAnswered is the address that last answered get.
	lastAnswered string
}

func newOperatorClient(access operatorAccess) (*operatorClient, error) {
	c := &operatorClient{scheme: "http", addresses: access.addresses, http: &http.Client{Timeout: operatorTimeout}}
	if access.ca == "" {
		return c, nil
	}
	files := tlsconf.Files{CA: access.ca, Cert: access.cert, Key: access.key}
	store, err := tlsconf.Load(files, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, &usageError{message: fmt.Sprintf("--ca, --cert and --key: %v", err)}
	}
	c.scheme = "https"
	c.http.Transport = &http.Transport{TLSClientConfig: store.Client()}
	return c, nil
}

// status reads the status from the first address that answers.
func (c *operatorClient) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, c.get(ctx, operator.StatusPath, &s)
}

// get reads a path from the first address that answers, also if the answer is
// a problem.
func (c *operatorClient) get(ctx context.Context, path string, dst any) error {
	err := errors.New("--operators is empty; give the operators' address of an entry VM")
	for _, address := range c.addresses {
		var answered bool
		answered, err = c.call(ctx, http.MethodGet, address, path, dst)
		if answered {
			c.lastAnswered = address
			break
		}
	}
	return err
}

// call makes one call and decodes the answer into dst unless that is nil.
// answered reports whether the daemon answered, even if with a problem.
func (c *operatorClient) call(ctx context.Context, method, address, path string, dst any) (answered bool, err error) {
	url := fmt.Sprintf("%s://%s%s", c.scheme, address, path)
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return false, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, errors.Annotate(err, "no daemon answered; check --operators")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return false, errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return true, problemError(resp.StatusCode, raw)
	}
	if dst == nil {
		return true, nil
	}
	return true, errors.Annotatef(json.Unmarshal(raw, dst), "answer of %s", url)
}

// problemBody holds the fields of a problem document that the command line
// shows.
type problemBody struct {
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// problemError converts an error answer into a problem.
func problemError(status int, raw []byte) error {
	var body problemBody
	if json.Unmarshal(raw, &body) != nil || body.Title == "" {
		return errors.Errorf("the daemon answered status %d", status)
	}
	return problem.New(problem.Kind(body.Title), body.Detail, body.Remedy)
}
