package main

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

// report is what is read of the bench's report of a run. Its short keys are
// the bench's.
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

// counts says how the requests of a part ended.
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
		return nil, errors.Annotate(err, "the bench wrote no report")
	}
	var r report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errors.Annotatef(err, "report %s can't be read", path)
	}
	return &r, nil
}

// figure is one named figure of a run.
type figure struct {
	name  string
	value float64
}

// figures returns what is compared, always in the same order: shares are of
// the requests that were owed an answer.
func (r *report) figures() []figure {
	out := []figure{{"worth", r.Worth}}
	owed := max(1, r.All.N-r.All.NotOwed)
	out = append(out,
		figure{"in time", r.All.InTime / owed}, figure{"late", r.All.Late / owed},
		figure{"refused", r.All.Refused / owed}, figure{"failed", r.All.Failed / owed})
	for _, part := range r.Parts {
		if name, value, ok := named(part); ok {
			out = append(out, figure{name, value})
		}
	}
	charged := 0.0
	for _, price := range r.Prices {
		if _, value, ok := named(price); ok {
			charged += value
		}
	}
	out = append(out, figure{"prices", charged})
	out = append(out, figure{"idle VM seconds", r.idle()})
	for _, class := range r.Classes {
		out = append(out, figure{"class " + class.Name, class.Worth})
	}
	for _, zone := range r.Zones {
		out = append(out, figure{"data centre " + zone.Name, zone.Worth})
	}
	return out
}

// named reads an entry of a name, a weight or amount, and a value.
func named(entry []any) (name string, value float64, ok bool) {
	if len(entry) <= 2 {
		return "", 0, false
	}
	name, isName := entry[0].(string)
	value, isNumber := entry[2].(float64)
	return name, value, isName && isNumber
}

// broken says whether a rule was broken, or the day could not be played.
func (r *report) broken() bool { return len(r.Breaks) > 0 || r.Fault != nil }

var idleHint = regexp.MustCompile(`([0-9]+) server-seconds served nobody`)

// idle returns for how long, summed over the VMs of engines, they lived and
// belonged to no serving group.
func (r *report) idle() float64 {
	for _, hint := range r.Hints {
		if found := idleHint.FindStringSubmatch(hint); found != nil {
			seconds, _ := strconv.ParseFloat(found[1], 64) // the pattern allows digits alone
			return seconds
		}
	}
	return 0
}
