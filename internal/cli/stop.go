package cli

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

func (a *app) stopCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "stop",
		Short: "Prepare a planned stop: work leaves first",
		Long: "Prepare a planned stop. An endpoint VM or a group is taken out and the command returns once its\n" +
			"requests have ended and it is in no group; bring it back with undrain. An entry VM's daemon shuts\n" +
			"down gracefully.",
		Example: "  pimentoshore stop vm praha-a-3\n  pimentoshore stop group praha/assistant/1\n  pimentoshore stop entry praha-entry-1",
		Args:    cobra.NoArgs,
		RunE:    requireSubcommand,
	}
	cmd.AddCommand(
		a.stopTargetCommand("vm", "Take an endpoint VM out and wait until it is idle", a.stopVM),
		a.stopTargetCommand("group", "Take all VMs of a group out and wait until they are idle", a.stopGroup),
		a.stopEntryCommand(),
	)
	return cmd
}

// stopFunc prepares the planned stop of the named VM or group.
type stopFunc func(ctx context.Context, name string, timeout time.Duration) error

func (a *app) stopTargetCommand(kind, short string, stop stopFunc) *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:     kind + " NAME",
		Short:   short,
		Example: fmt.Sprintf("  pimentoshore stop %s NAME", kind),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return stop(cmd.Context(), args[0], timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", defaultWait, "how long to wait")
	a.platformFlags(cmd)
	a.authorFlag(cmd)
	a.operatorFlags(cmd)
	return cmd
}

func (a *app) stopVM(ctx context.Context, name string, timeout time.Duration) error {
	return a.takeOutAndWait(ctx, drainTarget{name: name, vms: []string{name}}, timeout)
}

func (a *app) stopGroup(ctx context.Context, name string, timeout time.Duration) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	status, err := client.status(ctx)
	if err != nil {
		return err
	}
	for _, dc := range status.DataCentres {
		for _, g := range dc.Groups {
			if g.Name == name {
				return a.takeOutAndWait(ctx, drainTarget{name: name, vms: g.Members}, timeout)
			}
		}
	}
	return errors.Errorf("group %q is unknown; look at pimentoshore status for its name", name)
}

// takeOutAndWait takes the target's VMs out in one change of the configuration
// and waits until they are idle.
func (a *app) takeOutAndWait(ctx context.Context, target drainTarget, timeout time.Duration) error {
	number, err := a.store().Edit(ctx, a.author, func(doc *inventory.Document) error {
		for _, vm := range target.vms {
			if isEntry(doc, vm) {
				return &usageError{message: fmt.Sprintf("%s is an entry VM; use pimentoshore stop entry %s", vm, vm)}
			}
			if err := setVMOut(doc, true, vm); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	a.progress("configuration %d is accepted; waiting for requests to end", number)
	if err := a.waitFor(ctx, timeout, vmsIdle(number, target)); err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "%s is idle and may be stopped; bring it back with pimentoshore undrain\n", target.name)
	return nil
}

func isEntry(doc *inventory.Document, vm string) bool {
	return slices.ContainsFunc(doc.VMs, func(v inventory.VM) bool {
		return v.Name == vm && v.Role == inventory.RoleEntry
	})
}

func (a *app) stopEntryCommand() *cobra.Command {
	var timeout time.Duration
	var force bool
	cmd := &cobra.Command{
		Use:     "entry NAME",
		Short:   "Shut an entry VM's daemon down gracefully",
		Example: "  pimentoshore stop entry praha-entry-1 --operators 10.0.0.1:7001",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.shutDownEntry(cmd.Context(), args[0], force, timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", defaultWait, "how long to wait")
	cmd.Flags().BoolVar(&force, "force", false, "also stop the last entry VM of a data centre")
	a.operatorFlags(cmd)
	return cmd
}

// shutDownEntry asks the daemon of an entry VM to stop and waits until it no
// longer answers.
func (a *app) shutDownEntry(ctx context.Context, name string, force bool, timeout time.Duration) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	status, err := client.status(ctx)
	if err != nil {
		return err
	}
	node, err := entryToStop(status, name, force)
	if err != nil {
		return err
	}
	if node.Operators == "" && node.VM == status.Node {
		node.Operators = client.lastAnswered
	}
	if node.Operators == "" {
		return errors.Errorf("%s does not report its operators' address; name it with --operators", name)
	}
	if _, err := client.call(ctx, http.MethodPost, node.Operators, operator.StopPath, nil); err != nil {
		return err
	}
	a.progress("%s is shutting down; waiting for its requests to end", name)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		if answered, _ := client.call(ctx, http.MethodGet, node.Operators, operator.StatusPath, nil); !answered && ctx.Err() == nil {
			fmt.Fprintf(a.Out, "%s has stopped\n", name)
			return nil
		}
		if err := sleep(ctx, a.PollInterval); err != nil {
			return errors.Errorf("%s is still running after %s; look at its log", name, timeout)
		}
	}
}

// entryToStop returns the named node. Without force it refuses the last one of
// its data centre that is up and not stopping.
func entryToStop(s operator.Status, name string, force bool) (operator.Node, error) {
	i := slices.IndexFunc(s.Nodes, func(n operator.Node) bool { return n.VM == name })
	if i < 0 {
		return operator.Node{}, errors.Errorf("entry VM %q is unknown; look at pimentoshore status for its name", name)
	}
	node := s.Nodes[i]
	hasOthers := slices.ContainsFunc(s.Nodes, func(n operator.Node) bool {
		return n.VM != name && n.DataCentre == node.DataCentre && !n.Stopping && n.LastHeard < nodeTimeout
	})
	if !hasOthers && !force {
		return node, errors.Errorf("%s is the last entry VM of %s that is up; start another one or add --force", name, node.DataCentre)
	}
	return node, nil
}
