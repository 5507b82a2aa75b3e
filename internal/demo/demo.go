// Package demo runs a whole system on loopback in one process: stand-ins for
// the platform, the model engines and a plain service in three data centres,
// and the daemons in front of them.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

const (
	defaultTimeout = 60 * time.Second
	author         = "demo"
)

// StartDaemon starts a daemon with the given settings. It returns the address for
// callers and a function that stops the daemon gracefully.
type StartDaemon func(ctx context.Context, s settings.Settings) (address string, stop func(), err error)

// Options configures a demo.
type Options struct {
	StartDaemon StartDaemon
	Out         io.Writer // answers
	Err         io.Writer // progress
	// Once ends the demo after the two requests.
	Once bool
	// Timeout bounds the time until both requests are answered; 0 means 60 s.
	Timeout time.Duration
	// Workload is the path of a settings file to write for the load tool; empty
	// means none.
	Workload string
}

// daemon is a running daemon.
type daemon struct {
	vm        string
	address   string // of the callers' interface
	operators string
	stop      func()
}

// run is one run of the demo.
type run struct {
	opts    Options
	site    *site
	daemons []daemon
}

// Run starts the stand-ins and daemons, sends one streamed chat completion and one
// order, and prints the answers with their hops. Without Once it then keeps
// running until ctx ends. If the start times out, the error lists the daemons and
// groups that are not ready.
func Run(ctx context.Context, opts Options) error {
	if opts.StartDaemon == nil {
		return errors.New("this build has no daemon; use the pimentoshore command of a release")
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	r := &run{opts: opts}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return err
	}
	if opts.Workload != "" {
		if err := r.writeWorkload(opts.Workload); err != nil {
			return err
		}
	}
	if opts.Once {
		return nil
	}
	r.printCommands()
	<-ctx.Done()
	return nil
}

// start starts the stand-ins and daemons and sends the two requests, all within
// the timeout.
func (r *run) start(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	var err error
	if r.site, err = newSite(); err != nil {
		return err
	}
	r.progress("platform, %d endpoints in %d data centres are up", len(r.site.document.VMs)-len(r.site.entries), len(entryVMs))
	if err := r.applyInventory(startCtx); err != nil {
		return errors.Annotate(err, "applying the inventory")
	}
	if err := r.startDaemons(ctx); err != nil {
		return err
	}
	if err := r.waitForService(startCtx); err != nil {
		return err
	}
	if err := r.streamChat(startCtx, r.daemons[0].address); err != nil {
		return err
	}
	return r.placeOrder(startCtx, r.daemons[len(r.daemons)-1].address)
}

func (r *run) applyInventory(ctx context.Context) error {
	store := configstore.New(platform.NewClient(platform.ClientOptions{URLs: []string{r.site.platformURL}}))
	base, err := store.Read(ctx)
	if err != nil {
		return err
	}
	number, err := store.Propose(ctx, base, r.site.document, author)
	if err != nil {
		return err
	}
	r.progress("configuration %d is accepted", number)
	return nil
}

func (r *run) startDaemons(ctx context.Context) error {
	for _, s := range r.site.entries {
		r.site.release(s.VM)
		address, stop, err := r.opts.StartDaemon(ctx, s)
		if err != nil {
			return errors.Annotatef(err, "starting daemon %s", s.VM)
		}
		r.daemons = append(r.daemons, daemon{vm: s.VM, address: address, operators: s.Listen.Operators, stop: stop})
	}
	r.progress("%d daemons have started", len(r.daemons))
	return nil
}

// waitForService waits until all daemons are ready and all groups are whole.
func (r *run) waitForService(ctx context.Context) error {
	err := waitUntil(ctx, func(ctx context.Context) []string {
		return append(daemonsNotReady(ctx, r.daemons), r.site.incompleteDomains()...)
	})
	if err != nil {
		return err
	}
	r.progress("all daemons are ready and all groups are whole")
	return nil
}

// stop stops the daemons and then the stand-ins.
func (r *run) stop() {
	var stopping sync.WaitGroup
	for _, d := range r.daemons {
		stopping.Go(d.stop)
	}
	stopping.Wait()
	if r.site != nil {
		r.site.close()
	}
}

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Err, format+"\n", args...)
}

// printCommands prints the daemons' addresses and some commands to try.
func (r *run) printCommands() {
	out := r.opts.Out
	fmt.Fprintln(out, "\nUp until interrupted. Entry VMs:")
	for _, d := range r.daemons {
		fmt.Fprintf(out, "  %-16s http://%s\n", d.vm, d.address)
	}
	first := r.daemons[0]
	fmt.Fprintf(out, "\nTry:\n  curl -N http://%s%s -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n", first.address, chatPath, AccountKey)
	fmt.Fprintf(out, "    -d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":%q}]}'\n", Model, demoQuestion[0].Content)
	fmt.Fprintf(out, "  curl -i http://%s%s -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\\n", first.address, ordersPath, AccountKey)
	fmt.Fprintf(out, "    -H 'Idempotency-Key: order-2' -d '{\"order_id\":\"order-2\",\"item\":\"nitrile gloves\",\"quantity\":3}'\n")
	operators := r.operatorsAddresses()
	fmt.Fprintf(out, "  pimentoshore status --operators %s\n", operators)
	fmt.Fprintf(out, "  pimentoshore drain data-centre praha --platform %s --operators %s --wait\n", r.site.platformURL, operators)
}

// operatorsAddresses returns the daemons' operators' addresses as a value of the
// flag --operators.
func (r *run) operatorsAddresses() string {
	addresses := make([]string, 0, len(r.daemons))
	for _, d := range r.daemons {
		addresses = append(addresses, d.operators)
	}
	return strings.Join(addresses, ",")
}
