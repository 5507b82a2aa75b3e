package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// results holds the figures of all runs by pair and tree.
type results map[pair][][]figure

func (res results) put(r run, trees int, figures []figure) {
	if res[r.pair()] == nil {
		res[r.pair()] = make([][]figure, trees)
	}
	res[r.pair()][r.tree] = figures
}

// complete returns the figures of the pairs that every tree has played, of one
// deployment and day, or of all days if day is empty.
func (res results) complete(deployment int, day string) [][][]figure {
	var out [][][]figure
	keys := slices.SortedFunc(maps.Keys(res), func(a, b pair) int {
		return slices.Compare([]int{a.deployment, a.seed}, []int{b.deployment, b.seed})
	})
	for _, key := range keys {
		byTree := res[key]
		if key.deployment != deployment || day != "" && key.day != day {
			continue
		}
		if !slices.ContainsFunc(byTree, func(f []figure) bool { return f == nil }) {
			out = append(out, byTree)
		}
	}
	return out
}

// mean returns the mean of values and its standard error.
func mean(values []float64) (m, stderr float64) {
	n := float64(len(values))
	if n == 0 {
		return 0, 0
	}
	for _, v := range values {
		m += v / n
	}
	if n < 2 {
		return m, 0
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - m) * (v - m)
	}
	return m, math.Sqrt(sum / (n - 1) / n)
}

// column returns one figure of one tree over the pairs, less that of the first
// tree if diff is set.
func column(pairs [][][]figure, tree, i int, diff bool) []float64 {
	var out []float64
	for _, byTree := range pairs {
		if i >= len(byTree[tree]) || i >= len(byTree[0]) {
			continue
		}
		v := byTree[tree][i].value
		if diff {
			v -= byTree[0][i].value
		}
		out = append(out, v)
	}
	return out
}

// print writes a table of all figures over the deployment's days, and a line a
// day for the worth.
func (res results) print(w io.Writer, p *Plan, trees []tree) {
	for i := range p.Deployments {
		d := &p.Deployments[i]
		pairs := res.complete(i, "")
		fmt.Fprintf(w, "\n%s: %d runs a tree\n", d.Name(), len(pairs))
		if len(pairs) == 0 {
			continue
		}
		tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for f, fig := range pairs[0][0] {
			res.line(tw, fig.name, pairs, trees, f)
		}
		for _, day := range d.Days {
			if ofDay := res.complete(i, day); len(ofDay) > 0 {
				res.line(tw, "worth on "+day, ofDay, trees, 0)
			}
		}
		_ = tw.Flush() // w fails with the report's next line, too
	}
}

func (res results) line(w io.Writer, name string, pairs [][][]figure, trees []tree, f int) {
	fmt.Fprint(w, name)
	for t := range trees {
		m, _ := mean(column(pairs, t, f, false))
		fmt.Fprintf(w, "\t%s %.3f", trees[t].name, m)
		if t > 0 {
			d, e := mean(column(pairs, t, f, true))
			fmt.Fprintf(w, "\t%+.3f ±%.3f", d, e)
		}
	}
	fmt.Fprintln(w)
}
