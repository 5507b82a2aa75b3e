package daemon

import (
	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// index finds entities of the configuration in force by name.
type index struct {
	number      uint64
	doc         *inventory.Document
	vms         map[string]*inventory.VM
	models      map[string]*inventory.Model
	services    map[string]*inventory.Service
	dataCentres map[string]*inventory.DataCentre
	accounts    map[string]*inventory.ClientAccount // by key hash
}

func newIndex(number uint64, doc *inventory.Document) index {
	x := index{
		number: number, doc: doc,
		vms:         map[string]*inventory.VM{},
		models:      map[string]*inventory.Model{},
		services:    map[string]*inventory.Service{},
		dataCentres: map[string]*inventory.DataCentre{},
		accounts:    map[string]*inventory.ClientAccount{},
	}
	for i := range doc.VMs {
		x.vms[doc.VMs[i].Name] = &doc.VMs[i]
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

// out reports whether operators have taken the VM or its data centre out.
func (x *index) out(vm string) bool {
	v, ok := x.vms[vm]
	if !ok || v.Out {
		return true
	}
	dc, ok := x.dataCentres[v.DataCentre]
	return !ok || dc.Out
}

// serviceVMs lists the VMs that run a service in a data centre.
func (x *index) serviceVMs(dataCentre string) []*inventory.VM {
	var vms []*inventory.VM
	if x.doc == nil {
		return nil
	}
	for i := range x.doc.VMs {
		vm := &x.doc.VMs[i]
		if vm.Role == inventory.RoleService && vm.DataCentre == dataCentre {
			vms = append(vms, vm)
		}
	}
	return vms
}
