package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

func baseDocument() inventory.Document {
	return Normalize(inventory.Document{
		DataCentres: []inventory.DataCentre{{Name: "praha", Region: "cz"}, {Name: "brno", Region: "cz"}},
		VMs: []inventory.VM{
			{Name: "m2", DataCentre: "praha", FabricDomain: "f1", Role: inventory.RoleModel, Address: "127.0.0.1:9002"},
			{Name: "m1", DataCentre: "praha", FabricDomain: "f1", Role: inventory.RoleModel, Address: "127.0.0.1:9001"},
		},
		Models:         []inventory.Model{{Name: "m", GroupSize: 2, MaxInFlight: 8, ColdInFlight: 1}},
		ClientAccounts: []inventory.ClientAccount{{Name: "archive", MaxInFlight: 4}},
	})
}

func TestDescribe(t *testing.T) {
	old := baseDocument()
	next := baseDocument()
	next.DataCentres[0].Out = true
	next.VMs = append(next.VMs, inventory.VM{Name: "e1", DataCentre: "brno", Role: inventory.RoleEntry, Address: "127.0.0.1:7000"})
	next.ClientAccounts = nil
	assert.DeepEqual(t, Describe(old, Diff(old, next)), []string{
		`~ data centre brno: out false -> true`,
		`+ VM e1: data_centre "" -> "brno", role "" -> "entry", address "" -> "127.0.0.1:7000"`,
		`- client account archive`,
	})
}

func TestApplyRejects(t *testing.T) {
	tests := []struct {
		name   string
		change Change
		want   string
	}{
		{"unknown delete", Change{Delete: Names{VMs: []string{"m9"}}}, "vms.m9: is deleted but does not exist"},
		{"put and delete", Change{Put: inventory.Document{DataCentres: []inventory.DataCentre{{Name: "brno"}}},
			Delete: Names{DataCentres: []string{"brno"}}}, "data_centres.brno: is both put and deleted"},
		{"invalid result", Change{Delete: Names{DataCentres: []string{"praha"}}}, "vms[0].data_centre"},
		{"put twice", Change{Put: inventory.Document{DataCentres: []inventory.DataCentre{{Name: "x"}, {Name: "x"}}}}, "appears twice"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			doc := baseDocument()
			got, err := Apply(doc, tc.change)
			assert.Assert(t, problem.Is(err, problem.ConfigInvalid))
			assert.ErrorContains(t, err, tc.want)
			assert.DeepEqual(t, got, doc)
		})
	}
}

// drawDocument generates a valid document with entities in random order.
func drawDocument(t *rapid.T, label string) inventory.Document {
	doc := inventory.Document{DataCentres: []inventory.DataCentre{{Name: "praha", Out: rapid.Bool().Draw(t, label)}}}
	vms := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, label)
	for _, i := range vms {
		doc.VMs = append(doc.VMs, inventory.VM{
			Name: fmt.Sprintf("e%d", i), DataCentre: "praha", Role: inventory.RoleEntry,
			Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Out: rapid.Bool().Draw(t, label),
		})
	}
	accounts := rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, label)
	for _, i := range accounts {
		doc.ClientAccounts = append(doc.ClientAccounts, inventory.ClientAccount{
			Name: fmt.Sprintf("a%d", i), MaxInFlight: rapid.IntRange(1, 3).Draw(t, label), KeyHashes: []string{},
		})
	}
	return doc
}

func TestApplyOfDiffYieldsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := Normalize(drawDocument(t, "old"))
		target := drawDocument(t, "new")
		change := Diff(old, target)
		wire := encode(change)
		var decoded Change
		assert.NilError(t, json.Unmarshal(wire, &decoded))
		got, err := Apply(old, decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, Normalize(target))
		assert.DeepEqual(t, encode(Diff(old, target)), wire)
		assert.Assert(t, Diff(got, target).Empty())
	})
}
