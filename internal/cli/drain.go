package cli

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

const defaultWait = 2 * time.Minute

// waitFlags are the flags of commands that can wait until the status shows
// their effect.
type waitFlags struct {
	wait    bool
	timeout time.Duration
}

func (a *app) drainCommand() *cobra.Command {
	return a.setOutCommand("drain", "Take a VM or data centre out of new work", true)
}

func (a *app) undrainCommand() *cobra.Command {
	return a.setOutCommand("undrain", "Bring a VM or data centre back", false)
}

// setOutCommand builds the drain command (out is true) or the undrain command.
func (a *app) setOutCommand(name, short string, out bool) *cobra.Command {
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: fmt.Sprintf("  pimentoshore %s data-centre praha --wait\n  pimentoshore %s vm praha-a-3", name, name),
		Args:    cobra.NoArgs,
		RunE:    requireSubcommand,
	}
	cmd.AddCommand(a.setOutSubcommand(name, "vm", out, setVMOut), a.setOutSubcommand(name, "data-centre", out, setDataCentreOut))
	return cmd
}

// outSetter sets the out flag of the named entity.
type outSetter func(doc *inventory.Document, out bool, name string) error

func (a *app) setOutSubcommand(verb, kind string, out bool, setOut outSetter) *cobra.Command {
	var flags waitFlags
	cmd := &cobra.Command{
		Use:     kind + " NAME",
		Short:   fmt.Sprintf("%s a %s", verb, kind),
		Example: fmt.Sprintf("  pimentoshore %s %s NAME", verb, kind),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := a.store().Edit(cmd.Context(), a.author, func(doc *inventory.Document) error {
				return setOut(doc, out, args[0])
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "configuration %d is accepted\n", number)
			if !flags.wait {
				return nil
			}
			target := drainTarget{name: args[0], wholeDataCentre: kind == "data-centre"}
			return a.waitFor(cmd.Context(), flags.timeout, configurationApplied(number, target, out))
		},
	}
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until every node has the change and, on drain, no work is left")
	cmd.Flags().DurationVar(&flags.timeout, "timeout", defaultWait, "how long to wait")
	a.platformFlags(cmd)
	a.authorFlag(cmd)
	a.operatorFlags(cmd)
	return cmd
}

func setVMOut(doc *inventory.Document, out bool, name string) error {
	i := slices.IndexFunc(doc.VMs, func(vm inventory.VM) bool { return vm.Name == name })
	if i < 0 {
		return errors.Errorf("VM %q is not in the configuration; look at pimentoshore status for its name", name)
	}
	doc.VMs[i].Out = out
	return nil
}

func setDataCentreOut(doc *inventory.Document, out bool, name string) error {
	i := slices.IndexFunc(doc.DataCentres, func(dc inventory.DataCentre) bool { return dc.Name == name })
	if i < 0 {
		return errors.Errorf("data centre %q is not in the configuration; look at pimentoshore status for its name", name)
	}
	doc.DataCentres[i].Out = out
	return nil
}
