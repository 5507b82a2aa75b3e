package main

import (
	"context"
	"fmt"
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

// options are the command line's.
type options struct {
	bench, sites, plan, why, reports string
	jobs                             int
	charged                          bool
	trees                            []tree
}

func main() {
	if err := execute(); err != nil {
		os.Exit(1) // cobra has printed it
	}
}

// execute runs the command line until it's done or interrupted.
func execute() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return command().ExecuteContext(ctx)
}

func command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "paired --bench PROGRAM --sites DIR --plan FILE NAME=TREE...",
		Short: "compares trees of the project by the same days and seeds",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, arg := range args {
				name, dir, ok := strings.Cut(arg, "=")
				if !ok {
					return errors.Errorf("%q names no tree; write NAME=DIRECTORY", arg)
				}
				o.trees = append(o.trees, tree{name, dir})
			}
			return o.play(cmd.Context())
		},
		SilenceUsage: true,
	}
	flags := cmd.Flags()
	flags.StringVar(&o.bench, "bench", "", "the bench's program")
	flags.StringVar(&o.sites, "sites", "", "the directory that the plan's files are below")
	flags.StringVar(&o.plan, "plan", "", "what to play")
	flags.StringVar(&o.why, "why", "paired comparison", "the reason that the bench notes")
	flags.StringVar(&o.reports, "reports", "", "where to keep the bench's reports; none are kept if empty")
	flags.IntVar(&o.jobs, "jobs", 5, "runs at a time")
	flags.BoolVar(&o.charged, "charged", false, "charge processor time, so that runs repeat less exactly")
	return cmd
}

// play plays the plan and prints the comparison. After an interrupt it prints
// what is done.
func (o *options) play(ctx context.Context) error {
	plan, err := readPlan(o.plan)
	if err != nil {
		return err
	}
	dir := o.reports
	if dir == "" {
		if dir, err = os.MkdirTemp("", "paired"); err != nil {
			return errors.Trace(err)
		}
		defer os.RemoveAll(dir)
	}
	if err := o.build(ctx); err != nil {
		return err
	}
	res, err := o.playAll(ctx, plan, dir)
	res.print(os.Stdout, plan, o.trees)
	return err
}

// build builds each tree once, before its runs use it.
func (o *options) build(ctx context.Context) error {
	for _, t := range o.trees {
		if out, err := o.call(ctx, t, "build").CombinedOutput(); err != nil {
			return errors.Errorf("tree %s doesn't build: %v\n%s", t.name, err, out)
		}
	}
	return nil
}

// playAll plays the runs, some at a time, and returns the figures of those that
// were done.
func (o *options) playAll(ctx context.Context, plan *Plan, dir string) (results, error) {
	res := make(results)
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(o.jobs)
	for _, r := range plan.runs(len(o.trees)) {
		group.Go(func() error {
			got, err := o.run(ctx, plan, r, dir)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			res.put(r, len(o.trees), got.figures())
			if got.broken() {
				fmt.Printf("BROKEN: %s on %s, %s, seed %d: %v %v\n",
					o.trees[r.tree].name, plan.Deployments[r.deployment].Name(), r.day, r.seed, got.Breaks, got.Fault)
			}
			return nil
		})
	}
	err := group.Wait()
	return res, err
}

// run plays one day on the bench.
func (o *options) run(ctx context.Context, plan *Plan, r run, dir string) (*report, error) {
	d := plan.Deployments[r.deployment]
	t := o.trees[r.tree]
	path := filepath.Join(dir, fmt.Sprintf("%s-%s-%s-%d.json", t.name, d.Name(), r.day, r.seed))
	args := []string{"run", filepath.Join(o.sites, d.File), r.day, "--seed", strconv.Itoa(r.seed), "--report", path,
		"--why", fmt.Sprintf("%s (%s)", o.why, t.name)}
	if d.Vary {
		args = append(args, "--vary")
	}
	if !o.charged {
		args = append(args, "--no-cpu")
	}
	out, err := o.call(ctx, t, args...).CombinedOutput()
	got, readErr := readReport(path)
	if readErr != nil {
		return nil, errors.Errorf("%s, %s, seed %d on %s: %v, %v\n%s", d.Name(), r.day, r.seed, t.name, readErr, err, out)
	}
	return got, nil
}

func (o *options) call(ctx context.Context, t tree, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, o.bench, args...)
	cmd.Dir = t.dir
	return cmd
}
