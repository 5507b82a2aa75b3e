package cli

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

const (
	defaultPlatform = "http://127.0.0.1:9000"
	defaultHistory  = 20
)

// platformFlags adds the flags of commands that read or write the platform's
// table.
func (a *app) platformFlags(cmd *cobra.Command) {
	cmd.Flags().StringSliceVar(&a.urls, "platform", []string{defaultPlatform}, "URLs of the platform's table service")
}

func (a *app) authorFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&a.author, "author", os.Getenv("USER"), "operator to name in the history")
}

func (a *app) store() *configstore.Store {
	return configstore.New(platform.NewClient(platform.ClientOptions{URLs: a.urls}))
}

func (a *app) applyCommand() *cobra.Command {
	var dryRun bool
	var expect int64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put an inventory with its rules in force",
		Long: "Put an inventory with its rules in force as the next numbered configuration.\n" +
			"With --expect, the change is made only if that number is the newest; else the command exits with 3.",
		Example: "  pimentoshore apply inventory.toml --dry-run\n" +
			"  pimentoshore apply inventory.toml --expect 41 --platform http://10.0.0.9:9000",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.apply(cmd, args[0], dryRun, expect)
		},
	}
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show what would change and write nothing")
	cmd.Flags().Int64Var(&expect, "expect", -1, "number of the configuration that was edited")
	a.platformFlags(cmd)
	a.authorFlag(cmd)
	return cmd
}

func (a *app) apply(cmd *cobra.Command, file string, dryRun bool, expect int64) error {
	target, err := settings.LoadInventory(file)
	if err != nil {
		return err
	}
	store := a.store()
	base, err := store.Read(cmd.Context())
	if err != nil {
		return err
	}
	if expect >= 0 && uint64(expect) != base.Number {
		return problem.New(problem.ConfigConflict,
			fmt.Sprintf("number %d was expected but %d is in force", expect, base.Number),
			"look at pimentoshore diff, merge the changes and apply with the new number")
	}
	change := config.Diff(base.Document, target)
	if change.Empty() {
		fmt.Fprintf(a.Out, "nothing to change; configuration %d stays in force\n", base.Number)
		return nil
	}
	for _, line := range config.Describe(base.Document, change) {
		fmt.Fprintln(a.Out, line)
	}
	a.warnWithoutKeys(target)
	if dryRun {
		a.progress("dry run: nothing was written; configuration %d stays in force", base.Number)
		return nil
	}
	number, err := store.Propose(cmd.Context(), base, target, a.author)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "configuration %d is accepted\n", number)
	return nil
}

func (a *app) diffCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying an inventory would change",
		Example: "  pimentoshore diff inventory.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			target, err := settings.LoadInventory(args[0])
			if err != nil {
				return err
			}
			base, err := a.store().Read(cmd.Context())
			if err != nil {
				return err
			}
			for _, line := range config.Describe(base.Document, config.Diff(base.Document, target)) {
				fmt.Fprintln(a.Out, line)
			}
			a.warnWithoutKeys(target)
			a.progress("compared with configuration %d", base.Number)
			return nil
		},
	}
	a.platformFlags(cmd)
	return cmd
}

func (a *app) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the newest configurations",
		Example: "  pimentoshore history --limit 5\n  pimentoshore history --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 1 {
				return &usageError{message: "--limit is below 1; name how many changes to list"}
			}
			changes, err := a.store().History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			return a.print(changes, func(w io.Writer) { writeHistory(w, changes) })
		},
	}
	cmd.Flags().IntVar(&limit, "limit", defaultHistory, "number of changes to list")
	a.platformFlags(cmd)
	a.outputFlag(cmd)
	return cmd
}

func writeHistory(w io.Writer, changes []config.Change) {
	rows := make([][]string, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []string{strconv.FormatUint(c.Number, 10), valueOrDash(c.Author), c.Token, summarizeChange(c)})
	}
	writeTable(w, []string{"NUMBER", "AUTHOR", "TOKEN", "ENTITIES"}, rows)
}

// summarizeChange counts the entities that a change puts and deletes, by kind.
func summarizeChange(c config.Change) string {
	kinds := []struct {
		name     string
		put, del int
	}{
		{"data centres", len(c.Put.DataCentres), len(c.Delete.DataCentres)},
		{"VMs", len(c.Put.VMs), len(c.Delete.VMs)},
		{"models", len(c.Put.Models), len(c.Delete.Models)},
		{"services", len(c.Put.Services), len(c.Delete.Services)},
		{"client accounts", len(c.Put.ClientAccounts), len(c.Delete.ClientAccounts)},
	}
	var parts []string
	for _, k := range kinds {
		if k.put > 0 {
			parts = append(parts, fmt.Sprintf("%d %s put", k.put, k.name))
		}
		if k.del > 0 {
			parts = append(parts, fmt.Sprintf("%d %s deleted", k.del, k.name))
		}
	}
	return strings.Join(parts, ", ")
}
