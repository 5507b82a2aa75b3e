package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

// results holds the metrics of all completed runs by pair and tree.
type results map[pair][][]metric

func (res results) add(r run, trees int, metrics []metric) {
	if res[r.pair()] == nil {
		res[r.pair()] = make([][]metric, trees)
	}
	res[r.pair()][r.tree] = metrics
}

// completePairs returns the metrics of the pairs that have completed on every
// tree, for one deployment and day, or for all its days if day is empty.
func (res results) completePairs(deployment int, day string) [][][]metric {
	var out [][][]metric
	keys := slices.SortedFunc(maps.Keys(res), func(a, b pair) int {
		return slices.Compare([]int{a.deployment, a.seed}, []int{b.deployment, b.seed})
	})
	for _, key := range keys {
		byTree := res[key]
		if key.deployment != deployment || day != "" && key.day != day {
			continue
		}
		if !slices.ContainsFunc(byTree, func(m []metric) bool { return m == nil }) {
			out = append(out, byTree)
		}
	}
	return out
}

// mean returns the mean of values and its standard error, which is 0 for fewer
// than two values.
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

// values returns the i-th metric of a tree for each pair, or its difference
// from that of the first tree if diff is set.
func values(pairs [][][]metric, tree, i int, diff bool) []float64 {
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

// print writes a table for each deployment: a row for each metric over all
// days, and a row for the worth of each day.
func (res results) print(w io.Writer, p *Plan, trees []tree) {
	for i := range p.Deployments {
		d := &p.Deployments[i]
		pairs := res.completePairs(i, "")
		fmt.Fprintf(w, "\n%s: %d runs a tree\n", d.Name(), len(pairs))
		if len(pairs) == 0 {
			continue
		}
		tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		for f, first := range pairs[0][0] {
			res.writeRow(tw, first.name, pairs, trees, f)
		}
		for _, day := range d.Days {
			if dayPairs := res.completePairs(i, day); len(dayPairs) > 0 {
				res.writeRow(tw, "worth on "+day, dayPairs, trees, 0)
			}
		}
		_ = tw.Flush() // an error of w also affects the output that follows
	}
}

// writeRow writes the mean of the f-th metric for each tree, and the mean
// paired difference of each further tree from the first with its standard
// error.
func (res results) writeRow(w io.Writer, name string, pairs [][][]metric, trees []tree, f int) {
	fmt.Fprint(w, name)
	for t := range trees {
		m, _ := mean(values(pairs, t, f, false))
		fmt.Fprintf(w, "\t%s %.3f", trees[t].name, m)
		if t > 0 {
			d, e := mean(values(pairs, t, f, true))
			fmt.Fprintf(w, "\t%+.3f ±%.3f", d, e)
		}
	}
	fmt.Fprintln(w)
}
