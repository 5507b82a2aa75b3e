package main

import (
	"path/filepath"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// Plan lists what is run on each tree.
type Plan struct {
	Seeds       []int        `toml:"seeds"`
	Deployments []Deployment `toml:"deployment"`
}

// Deployment is a deployment file of the bench and the days to run with it.
type Deployment struct {
	// File is a path relative to the directory of deployment files.
	File string   `toml:"file"`
	Days []string `toml:"days"`
	// Vary makes each seed vary the times and numbers of the days.
	Vary bool `toml:"vary"`
}

// Name returns the base name of the file without its extension.
func (d *Deployment) Name() string {
	base := filepath.Base(d.File)
	return base[:len(base)-len(filepath.Ext(base))]
}

// readPlan reads and checks a plan file.
func readPlan(path string) (*Plan, error) {
	var p Plan
	meta, err := toml.DecodeFile(path, &p)
	if err != nil {
		return nil, errors.Annotatef(err, "reading plan %s", path)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, errors.Errorf("plan %s: unknown key %q; remove it", path, unknown[0])
	}
	return &p, p.validate()
}

func (p *Plan) validate() error {
	if len(p.Seeds) == 0 {
		return errors.New("the plan has no seeds; add some to the key seeds")
	}
	if len(p.Deployments) == 0 {
		return errors.New("the plan has no deployment; add a [[deployment]]")
	}
	for _, d := range p.Deployments {
		if d.File == "" || len(d.Days) == 0 {
			return errors.Errorf("deployment %q needs file and days", d.File)
		}
	}
	return nil
}

// run is one day with one seed on one tree.
type run struct {
	tree       int
	deployment int
	day        string
	seed       int
}

// pair identifies the runs that are compared with each other, one for each
// tree.
type pair struct {
	deployment int
	day        string
	seed       int
}

func (r run) pair() pair { return pair{r.deployment, r.day, r.seed} }

// runs returns the runs of the plan. The runs of one pair are adjacent.
func (p *Plan) runs(trees int) []run {
	var out []run
	for d, deployment := range p.Deployments {
		for _, seed := range p.Seeds {
			for _, day := range deployment.Days {
				for tree := range trees {
					out = append(out, run{tree, d, day, seed})
				}
			}
		}
	}
	return out
}
