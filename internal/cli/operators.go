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

// operatorAccess is how to reach the daemons' operators' interface.
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

// operatorClient calls the operators' interface.
type operatorClient struct {
	scheme    string
	addresses []string
	http      *http.Client
	// answering is the address that answered last.
	answering string
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

// get reads a path from the first address that answers.
func (c *operatorClient) get(ctx context.Context, path string, dst any) error {
	err := errors.New("--operators is empty; name an entry VM's operators' address")
	for _, address := range c.addresses {
		var answered bool
		answered, err = c.call(ctx, http.MethodGet, address, path, dst)
		if answered {
			c.answering = address
			break
		}
	}
	return err
}

// call makes one call. answered says that the daemon answered, also with a
// problem.
func (c *operatorClient) call(ctx context.Context, method, address, path string, dst any) (answered bool, err error) {
	url := fmt.Sprintf("%s://%s%s", c.scheme, address, path)
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return false, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, errors.Annotate(err, "no daemon answers; check --operators")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return false, errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return true, problemOf(resp.StatusCode, raw)
	}
	if dst == nil {
		return true, nil
	}
	return true, errors.Annotatef(json.Unmarshal(raw, dst), "answer of %s", url)
}

// problemBody is the part of a problem document that the command line shows.
type problemBody struct {
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

func problemOf(status int, raw []byte) error {
	var body problemBody
	if json.Unmarshal(raw, &body) != nil || body.Title == "" {
		return errors.Errorf("the daemon answered status %d", status)
	}
	return problem.New(problem.Kind(body.Title), body.Detail, body.Remedy)
}
