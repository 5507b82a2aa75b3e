package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// tree is a checkout of the project.
type tree struct{ name, dir string }

// options holds the arguments of the command line.
type options struct {
	bench, deploymentsDir, plan, reason, reportsDir string
	jobs                                            int
	chargeCPU                                       bool
	trees                                           []tree
}

func main() {
	if err := execute(); err != nil {
		os.Exit(1) // cobra has already printed the error
	}
}

// execute runs the command until it completes or is interrupted.
func execute() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return newCommand().ExecuteContext(ctx)
}

func newCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "paired --bench PROGRAM --sites DIR --plan FILE NAME=TREE...",
		Short: "compares trees of the project by running the same days and seeds",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, arg := range args {
				name, dir, ok := strings.Cut(arg, "=")
				if !ok {
					return errors.Errorf("%q is not a tree; write NAME=DIRECTORY", arg)
				}
				o.trees = append(o.trees, tree{name, dir})
			}
			return o.compare(cmd.Context())
		},
		SilenceUsage: true,
	}
	flags := cmd.Flags()
	flags.StringVar(&o.bench, "bench", "", "path of the bench program")
	flags.StringVar(&o.deploymentsDir, "sites", "", "directory of the deployment files that the plan lists")
	flags.StringVar(&o.plan, "plan", "", "plan file")
	flags.StringVar(&o.reason, "why", "paired comparison", "reason that the bench records for each run")
	flags.StringVar(&o.reportsDir, "reports", "", "directory to keep the reports of the bench in, created if missing; if empty, they are not kept")
	flags.IntVar(&o.jobs, "jobs", 5, "number of runs in parallel")
	flags.BoolVar(&o.chargeCPU, "charged", false, "charge processor time, which makes runs less reproducible")
	return cmd
}

// compare runs the plan and prints the comparison. After a failed run or an
// interrupt it prints the comparison of the runs that have completed.
func (o *options) compare(ctx context.Context) error {
	plan, err := readPlan(o.plan)
	if err != nil {
		return err
	}
	dir, err := o.makeReportsDir()
	if err != nil {
		return err
	}
	if o.reportsDir == "" {
		defer os.RemoveAll(dir)
	}
	if err := o.buildTrees(ctx); err != nil {
		return err
	}
	res, err := o.runAll(ctx, plan, dir)
	res.print(os.Stdout, plan, o.trees)
	return err
}

// makeReportsDir creates the directory of the reports if it is missing, or a
// temporary one if none is given. It returns the absolute path, because the bench
// runs in the directories of the trees.
func (o *options) makeReportsDir() (string, error) {
	if o.reportsDir == "" {
		dir, err := os.MkdirTemp("", "paired")
		return dir, errors.Trace(err)
	}
	dir, err := filepath.Abs(o.reportsDir)
	if err != nil {
		return "", errors.Trace(err)
	}
	return dir, errors.Trace(os.MkdirAll(dir, 0o755))
}

// buildTrees builds each tree once before the runs.
func (o *options) buildTrees(ctx context.Context) error {
	for _, t := range o.trees {
		if out, err := o.benchCommand(ctx, t, "build").CombinedOutput(); err != nil {
			return errors.Errorf("building tree %s: %v\n%s", t.name, err, out)
		}
	}
	return nil
}

// runAll runs the plan, with at most o.jobs runs in parallel, and returns the
// metrics of the runs that have completed.
func (o *options) runAll(ctx context.Context, plan *Plan, dir string) (results, error) {
	res := make(results)
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	for _, r := range plan.runs(len(o.trees)) {
		group.Go(func() error {
			got, err := o.runDay(ctx, plan, r, dir)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			res.add(r, len(o.trees), got.metrics())
			if got.isBroken() {
				fmt.Printf("BROKEN: %s on %s, %s, seed %d: %v %v\n",
					o.trees[r.tree].name, plan.Deployments[r.deployment].Name(), r.day, r.seed, got.Breaks, got.Fault)
			}
			return nil
		})
	}
	err := group.Wait()
	return res, err
}

// runDay runs one day on the bench and returns its report. The exit status of
// the bench is ignored if it has written a report. The report of an earlier run
// is removed first.
func (o *options) runDay(ctx context.Context, plan *Plan, r run, dir string) (*report, error) {
	d := plan.Deployments[r.deployment]
	t := o.trees[r.tree]
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%s-%d.json", t.name, d.Name(), r.day, r.seed))
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, errors.Annotate(err, "removing the report of an earlier run")
	}
	args := []string{"run", filepath.Join(o.deploymentsDir, d.File), r.day, "--seed", strconv.Itoa(r.seed), "--report", path,
		"--why", fmt.Sprintf("%s (%s)", o.reason, t.name)}
	if d.Vary {
		args = append(args, "--vary")
	}
	if !o.chargeCPU {
		args = append(args, "--no-cpu")
	}
	out, err := o.benchCommand(ctx, t, args...).CombinedOutput()
	got, readErr := readReport(path)
	if readErr != nil {
		return nil, errors.Errorf("%s, %s, seed %d on %s: %v, %v\n%s", d.Name(), r.day, r.seed, t.name, readErr, err, out)
	}
	return got, nil
}

// benchCommand returns a command that runs the bench with args in the directory
// of t.
func (o *options) benchCommand(ctx context.Context, t tree, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, o.bench, args...)
	cmd.Dir = t.dir
	return cmd
}
