package inventory

import (
	"testing"

	"gotest.tools/v3/assert"
)

func validDocument() Document {
	return Document{
		DataCentres: []DataCentre{{Name: "praha", Region: "cz"}},
		VMs: []VM{
			{Name: "e1", DataCentre: "praha", Role: RoleEntry, Address: "127.0.0.1:7000"},
			{Name: "m1", DataCentre: "praha", FabricDomain: "f1", Role: RoleModel, Address: "127.0.0.1:9001"},
			{Name: "m2", DataCentre: "praha", FabricDomain: "f1", Role: RoleModel, Address: "127.0.0.1:9002"},
			{Name: "s1", DataCentre: "praha", Role: RoleService, Service: "shop", Address: "127.0.0.1:9003"},
		},
		Models:   []Model{{Name: "m", GroupSize: 2, MaxInFlight: 8, ColdInFlight: 1}},
		Services: []Service{{Name: "shop", MaxInFlight: 8, ColdInFlight: 1}},
		ClientAccounts: []ClientAccount{{
			Name: "archive", MaxInFlight: 4,
			KeyHashes: []string{"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
		}},
	}
}

func TestValidateAcceptsValidDocument(t *testing.T) {
	doc := validDocument()
	assert.Equal(t, len(doc.Validate()), 0)
}

func TestValidateNamesKey(t *testing.T) {
	tests := []struct {
		name string
		edit func(*Document)
		key  string
	}{
		{"duplicate VM", func(d *Document) { d.VMs[2].Name = "m1" }, "vms[2].name"},
		{"duplicate address", func(d *Document) { d.VMs[2].Address = d.VMs[1].Address }, "vms[2].address"},
		{"unknown data centre", func(d *Document) { d.VMs[0].DataCentre = "brno" }, "vms[0].data_centre"},
		{"unknown service", func(d *Document) { d.VMs[3].Service = "desk" }, "vms[3].service"},
		{"unknown role", func(d *Document) { d.VMs[0].Role = "spare" }, "vms[0].role"},
		{"no fabric domain", func(d *Document) { d.VMs[0].Role = RoleModel }, "vms[0].fabric_domain"},
		{"impossible group size", func(d *Document) { d.Models[0].GroupSize = 3 }, "models[0].group_size"},
		{"cold above warm", func(d *Document) { d.Models[0].ColdInFlight = 9 }, "models[0].cold_in_flight"},
		{"negative warm-up", func(d *Document) { d.Services[0].WarmAfter = -1 }, "services[0].warm_after"},
		{"bad key hash", func(d *Document) { d.ClientAccounts[0].KeyHashes[0] = "secret" }, "client_accounts[0].key_hashes"},
		{"host name address", func(d *Document) { d.VMs[1].Address = "engine:80" }, "vms[1].address"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			doc := validDocument()
			tc.edit(&doc)
			faults := doc.Validate()
			assert.Equal(t, len(faults), 1, "%v", faults)
			assert.Equal(t, faults[0].Key, tc.key)
			assert.Assert(t, faults[0].Remedy != "")
		})
	}
}
