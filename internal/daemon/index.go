package daemon

import (
	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// index finds the entities of the configuration in force by name.
type index struct {
	number      uint64
	doc         *inventory.Document
	vms         map[string]*inventory.VM
	models      map[string]*inventory.Model
	services    map[string]*inventory.Service
	dataCentres map[string]*inventory.DataCentre
	accounts    map[string]*inventory.ClientAccount // by key hash
	// entries, endpoints and serviceVMs list VMs in the order of the document:
	// all entry VMs, the endpoint VMs of the node's own data centre, and the
	// service VMs of all data centres.
	entries    []*inventory.VM
	endpoints  []*inventory.VM
	serviceVMs []*inventory.VM
}

// newIndex indexes a configuration for a node of the given data centre.
func newIndex(number uint64, doc *inventory.Document, dataCentre string) index {
	x := index{
		number: number, doc: doc,
		vms:         map[string]*inventory.VM{},
		models:      map[string]*inventory.Model{},
		services:    map[string]*inventory.Service{},
		dataCentres: map[string]*inventory.DataCentre{},
		accounts:    map[string]*inventory.ClientAccount{},
	}
	for i := range doc.VMs {
		x.addVM(&doc.VMs[i], dataCentre)
	}
	for i := range doc.Models {
		x.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Services {
		x.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for i := range doc.DataCentres {
		x.dataCentres[doc.DataCentres[i].Name] = &doc.DataCentres[i]
	}
	for i := range doc.ClientAccounts {
		for _, hash := range doc.ClientAccounts[i].KeyHashes {
			x.accounts[hash] = &doc.ClientAccounts[i]
		}
	}
	return x
}

// isOut reports whether operators have taken the VM or its data centre out of
// service. A VM that is not in the configuration counts as out.
func (x *index) isOut(vm string) bool {
	v, ok := x.vms[vm]
	if !ok || v.Out {
		return true
	}
	dc, ok := x.dataCentres[v.DataCentre]
	return !ok || dc.Out
}

func (x *index) addVM(vm *inventory.VM, dataCentre string) {
	x.vms[vm.Name] = vm
	if vm.Role == inventory.RoleEntry {
		x.entries = append(x.entries, vm)
		return
	}
	if vm.DataCentre == dataCentre {
		x.endpoints = append(x.endpoints, vm)
	}
	if vm.Role == inventory.RoleService {
		x.serviceVMs = append(x.serviceVMs, vm)
	}
}
