package main

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

// report holds the fields that are used of the bench's report on a run. The
// bench defines the keys.
type report struct {
	Worth   float64        `json:"G"`
	Breaks  map[string]any `json:"breaks"`
	Fault   any            `json:"fault"`
	Parts   [][]any        `json:"parts"`
	Prices  [][]any        `json:"prices"`
	All     counts         `json:"all"`
	Classes []counts       `json:"classes"`
	Zones   []counts       `json:"zones"`
	Hints   []string       `json:"hints"`
}

// counts holds the outcomes of the requests of a class, a data centre or a
// whole run.
type counts struct {
	Name    string  `json:"name"`
	N       float64 `json:"n"`
	InTime  float64 `json:"in_aim"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	NotOwed float64 `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

func readReport(path string) (*report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the report of the bench")
	}
	var r report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errors.Annotatef(err, "parsing report %s", path)
	}
	return &r, nil
}

// metric is a named metric of a run.
type metric struct {
	name  string
	value float64
}

// metrics returns the metrics to compare, always in the same order. Shares are
// relative to the requests that were owed an answer.
func (r *report) metrics() []metric {
	out := []metric{{"worth", r.Worth}}
	owed := max(1, r.All.N-r.All.NotOwed)
	out = append(out,
		metric{"in time", r.All.InTime / owed}, metric{"late", r.All.Late / owed},
		metric{"refused", r.All.Refused / owed}, metric{"failed", r.All.Failed / owed})
	for _, part := range r.Parts {
		if name, value, ok := parseEntry(part); ok {
			out = append(out, metric{name, value})
		}
	}
	charged := 0.0
	for _, price := range r.Prices {
		if _, value, ok := parseEntry(price); ok {
			charged += value
		}
	}
	out = append(out, metric{"prices", charged})
	out = append(out, metric{"idle VM seconds", r.idleSeconds()})
	for _, class := range r.Classes {
		out = append(out, metric{"class " + class.Name, class.Worth})
	}
	for _, zone := range r.Zones {
		out = append(out, metric{"data centre " + zone.Name, zone.Worth})
	}
	return out
}

// parseEntry parses an entry that consists of a name, a weight or amount, and a
// value.
func parseEntry(entry []any) (name string, value float64, ok bool) {
	if len(entry) <= 2 {
		return "", 0, false
	}
	name, isName := entry[0].(string)
	value, isNumber := entry[2].(float64)
	return name, value, isName && isNumber
}

// isBroken reports whether the run broke a rule or the bench could not complete
// it.
func (r *report) isBroken() bool { return len(r.Breaks) > 0 || r.Fault != nil }

var idleHint = regexp.MustCompile(`([0-9]+) server-seconds served nobody`)

// idleSeconds returns the time that engines' VMs were up without belonging to a
// serving group, summed over all VMs. It is 0 if no hint states it.
func (r *report) idleSeconds() float64 {
	for _, hint := range r.Hints {
		if match := idleHint.FindStringSubmatch(hint); match != nil {
			seconds, _ := strconv.ParseFloat(match[1], 64) // the pattern matches only digits
			return seconds
		}
	}
	return 0
}
