package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func writePlan(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "plan.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for text, problem := range map[string]string{
		`seeds = [1]`:                                    "no deployment",
		"[[deployment]]\nfile = \"a.toml\"":              "no seeds",
		"seeds = [1]\n[[deployment]]\nfile = \"a.toml\"": "needs file and days",
		"seeds = [1]\nseed = 2":                          "unknown key",
	} {
		_, err := readPlan(writePlan(t, text))
		assert.ErrorContains(t, err, problem)
	}
}

func TestRunsOfAPairAreAdjacent(t *testing.T) {
	p, err := readPlan(writePlan(t, "seeds = [1, 2]\n[[deployment]]\nfile = \"x/a.toml\"\ndays = [\"d\", \"e\"]"))
	assert.NilError(t, err)
	assert.Equal(t, p.Deployments[0].Name(), "a")
	runs := p.runs(2)
	assert.Equal(t, len(runs), 8)
	for i := 0; i < len(runs); i += 2 {
		assert.Equal(t, runs[i].pair(), runs[i+1].pair())
	}
}

// The difference is computed for each pair, so that the variation between
// seeds, which is common to all trees, does not hide it.
func TestDifferenceIsPaired(t *testing.T) {
	res := make(results)
	for seed, worth := range []float64{0.2, 0.6, 0.9} {
		res.add(run{0, 0, "d", seed}, 2, []metric{{"worth", worth}})
		res.add(run{1, 0, "d", seed}, 2, []metric{{"worth", worth + 0.05}})
	}
	res.add(run{0, 0, "d", 9}, 2, []metric{{"worth", 0.1}}) // not run on the other tree
	pairs := res.completePairs(0, "")
	assert.Equal(t, len(pairs), 3)
	diff, stderr := mean(values(pairs, 1, 0, true))
	assert.Assert(t, math.Abs(diff-0.05) < 1e-9 && stderr < 1e-9, "%v ± %v", diff, stderr)

	var out strings.Builder
	plan := &Plan{Deployments: []Deployment{{File: "a.toml", Days: []string{"d"}}}}
	res.print(&out, plan, []tree{{"old", ""}, {"new", ""}})
	assert.Assert(t, strings.Contains(out.String(), "+0.050 ±0.000"), out.String())
}

// TestOldReportIsNotRead checks that a run that wrote no report fails although
// an earlier run left one.
func TestOldReportIsNotRead(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "old-a-d-1.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"G":0.5}`), 0o600))
	o := options{bench: "false", reportsDir: dir, trees: []tree{{"old", dir}}}
	_, err := o.runDay(t.Context(), &Plan{Deployments: []Deployment{{File: "a.toml"}}}, run{day: "d", seed: 1}, dir)
	assert.ErrorContains(t, err, "d, seed 1 on old: reading the report of the bench")

	// A bench that fails after it has written its report is no failed run.
	bench := filepath.Join(dir, "bench")
	const script = `#!/bin/sh
while [ "$1" != --report ]; do shift; done
echo '{"G":0.7}' > "$2"
exit 1
`
	assert.NilError(t, os.WriteFile(bench, []byte(script), 0o700))
	o.bench = bench
	for range 2 {
		got, err := o.runDay(t.Context(), &Plan{Deployments: []Deployment{{File: "a.toml"}}}, run{day: "d", seed: 1}, dir)
		assert.NilError(t, err)
		assert.Equal(t, got.Worth, 0.7)
	}
}

func TestIdleTimeIsParsedFromHints(t *testing.T) {
	r := report{Hints: []string{"groups stood still for 3.1 s in all, 0 broke; 905 server-seconds served nobody"}}
	assert.Equal(t, r.idleSeconds(), 905.0)
}

// writeBench writes a bench that only writes a report, and returns its path.
func writeBench(t *testing.T) string {
	const script = `#!/bin/sh
while [ $# -gt 0 ]; do
	if [ "$1" = --report ]; then echo '{"G": 0.5}' > "$2"; fi
	shift
done
`
	path := filepath.Join(t.TempDir(), "bench")
	assert.NilError(t, os.WriteFile(path, []byte(script), 0o700))
	return path
}

// A run whose report can't be written is lost, after the time that it took.
func TestMissingReportsDirectoryIsCreated(t *testing.T) {
	reports := filepath.Join(t.TempDir(), "new", "reports")
	checkReportIsKept(t, reports, reports)
}

// The bench runs in the directory of a tree, but the directory of the reports is
// relative to the caller's.
func TestReportsDirectoryMayBeRelative(t *testing.T) {
	cwd := t.TempDir()
	t.Chdir(cwd)
	checkReportIsKept(t, "reports", filepath.Join(cwd, "reports"))
}

// checkReportIsKept makes a run with the option --reports set to arg, and checks
// that its report is in dir.
func checkReportIsKept(t *testing.T, arg, dir string) {
	t.Helper()
	plan := writePlan(t, "seeds = [1]\n[[deployment]]\nfile = \"a.toml\"\ndays = [\"d\"]")
	o := options{bench: writeBench(t), plan: plan, reportsDir: arg, jobs: 1, trees: []tree{{"old", t.TempDir()}}}
	assert.NilError(t, o.compare(t.Context()))
	_, err := readReport(filepath.Join(dir, "old-a-d-1.json"))
	assert.NilError(t, err)
}
