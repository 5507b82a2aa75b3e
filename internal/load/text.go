package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// WriteText writes the report in a human-readable form.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "requests offered     %d\n", r.Offered)
	for _, outcome := range []Outcome{Whole, Refused, Broken, Short, Wrong, Failed, NotSent} {
		fmt.Fprintf(w, "  %-18s %d\n", outcome, r.Outcomes[outcome])
	}
	writeCounts(w, "refusals", r.Refusals)
	writeCounts(w, "failures", r.Failures)
	writeQuantiles(w, "first token", r.FirstToken)
	writeQuantiles(w, "between tokens", r.BetweenToken)
	writeQuantiles(w, "sent late by", r.SendLate)
	fmt.Fprintln(w, "accounts             offered  whole  served")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "  %-18s %7d %6d  %6.3f\n", a.Name, a.Offered, a.Whole, a.Served)
	}
	fmt.Fprintf(w, "fairness (Jain)      %.3f\n", r.Fairness)
	if e := r.Endpoints; e != nil {
		fmt.Fprintf(w, "cold load            %.2f of the limit of a cold endpoint\n", e.ColdLoad)
		fmt.Fprintf(w, "overloads            %d\ncancelled            %d\n", e.Overloads, e.Cancelled)
		fmt.Fprintf(w, "orders run           %d, doubles %d, refused as not run but ran %d\n", e.Orders, e.Doubles, e.NotRunThatRan)
	}
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintln(w, title)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %-40s %d\n", strings.TrimSpace(key), counts[key])
	}
}

func writeQuantiles(w io.Writer, title string, q Quantiles) {
	fmt.Fprintf(w, "%-20s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms (%d)\n", title, q.P50, q.P95, q.P99, q.Max, q.Count)
}
