package inventory

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

const keyHashBytes = 32

// Fault is one error in a document, with the key it stands at and what to do.
type Fault struct {
	Key     string
	Problem string
	Remedy  string
}

// Error formats the fault on one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s; %s", f.Key, f.Problem, f.Remedy)
}

// Validate returns every fault of the document, in document order.
func (d *Document) Validate() []Fault {
	v := validator{doc: d}
	v.dataCentres()
	v.services()
	v.vms()
	v.models()
	v.clientAccounts()
	return v.faults
}

type validator struct {
	doc    *Document
	faults []Fault
}

func (v *validator) add(key, problem, remedy string) {
	v.faults = append(v.faults, Fault{Key: key, Problem: problem, Remedy: remedy})
}

// unique reports an empty or repeated name.
func (v *validator) unique(seen map[string]bool, key, name string) {
	switch {
	case name == "":
		v.add(key+".name", "is empty", "give it a name")
	case seen[name]:
		v.add(key+".name", fmt.Sprintf("%q appears twice", name), "remove or rename one of them")
	}
	seen[name] = true
}

func (v *validator) inFlight(key string, maxInFlight, cold, warmAfter int) {
	if warmAfter < 0 {
		v.add(key+".warm_after", "is negative", "set the number of whole answers that warm an endpoint, or leave it out")
	}
	if maxInFlight < 1 {
		v.add(key+".max_in_flight", "is below 1", "set the number of concurrent requests a warm endpoint bears")
	}
	if cold < 1 || cold > maxInFlight {
		v.add(key+".cold_in_flight", "is not between 1 and max_in_flight", "set the number of concurrent requests a cold endpoint bears")
	}
}

func (v *validator) dataCentres() {
	seen := map[string]bool{}
	for i, dc := range v.doc.DataCentres {
		v.unique(seen, fmt.Sprintf("data_centres[%d]", i), dc.Name)
	}
	if len(v.doc.DataCentres) == 0 {
		v.add("data_centres", "is empty", "declare at least one data centre")
	}
}

func (v *validator) services() {
	seen := map[string]bool{}
	for i, s := range v.doc.Services {
		key := fmt.Sprintf("services[%d]", i)
		v.unique(seen, key, s.Name)
		v.inFlight(key, s.MaxInFlight, s.ColdInFlight, s.WarmAfter)
	}
}

func (v *validator) vms() {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, vm := range v.doc.VMs {
		key := fmt.Sprintf("vms[%d]", i)
		v.unique(names, key, vm.Name)
		v.address(addresses, key, vm)
		if !v.hasDataCentre(vm.DataCentre) {
			v.add(key+".data_centre", fmt.Sprintf("%q is not declared", vm.DataCentre), "add it under data_centres or correct the name")
		}
		v.role(key, vm)
	}
}

func (v *validator) address(seen map[string]string, key string, vm VM) {
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		v.add(key+".address", fmt.Sprintf("%q is not an IP address and port", vm.Address), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := seen[vm.Address]; ok {
		v.add(key+".address", fmt.Sprintf("%s is also the address of VM %q", vm.Address, other), "give each VM an address of its own")
	}
	seen[vm.Address] = vm.Name
}

func (v *validator) role(key string, vm VM) {
	switch vm.Role {
	case RoleEntry:
	case RoleModel:
		if vm.FabricDomain == "" {
			v.add(key+".fabric_domain", "is empty", "name the fabric domain of the model VM")
		}
	case RoleService:
		if !v.hasService(vm.Service) {
			v.add(key+".service", fmt.Sprintf("%q is not declared", vm.Service), "add it under services or correct the name")
		}
	default:
		v.add(key+".role", fmt.Sprintf("%q is unknown", vm.Role), "use entry, model or service")
	}
}

func (v *validator) models() {
	seen := map[string]bool{}
	for i, m := range v.doc.Models {
		key := fmt.Sprintf("models[%d]", i)
		v.unique(seen, key, m.Name)
		v.inFlight(key, m.MaxInFlight, m.ColdInFlight, m.WarmAfter)
		for _, dc := range m.DataCentres {
			if !v.hasDataCentre(dc) {
				v.add(key+".data_centres", fmt.Sprintf("%q is not declared", dc), "add it under data_centres or correct the name")
			}
		}
		v.groupSize(key, m)
	}
}

// groupSize checks that some fabric domain can hold a whole group.
func (v *validator) groupSize(key string, m Model) {
	if m.GroupSize < 1 {
		v.add(key+".group_size", "is below 1", "set the number of VMs that one replica spans")
		return
	}
	largest := v.largestDomain(m)
	if m.GroupSize > largest {
		problem := fmt.Sprintf("%d VMs fit in no fabric domain; the largest allowed one has %d", m.GroupSize, largest)
		v.add(key+".group_size", problem, "lower it, or add VMs to a fabric domain")
	}
}

func (v *validator) largestDomain(m Model) int {
	type domain struct{ dataCentre, name string }
	sizes := map[domain]int{}
	largest := 0
	for _, vm := range v.doc.VMs {
		if vm.Role != RoleModel || !m.Allows(vm.DataCentre) {
			continue
		}
		d := domain{vm.DataCentre, vm.FabricDomain}
		sizes[d]++
		largest = max(largest, sizes[d])
	}
	return largest
}

func (v *validator) clientAccounts() {
	seen := map[string]bool{}
	hashes := map[string]string{}
	for i, a := range v.doc.ClientAccounts {
		key := fmt.Sprintf("client_accounts[%d]", i)
		v.unique(seen, key, a.Name)
		if a.MaxInFlight < 1 {
			v.add(key+".max_in_flight", "is below 1", "set the account's limit of concurrent requests")
		}
		for _, h := range a.KeyHashes {
			v.keyHash(hashes, key, a.Name, h)
		}
	}
}

func (v *validator) keyHash(seen map[string]string, key, account, hash string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != keyHashBytes {
		v.add(key+".key_hashes", "holds a value that is not a hex SHA-256 digest", "make one with pimentoshore hash-key")
		return
	}
	if other, ok := seen[hash]; ok {
		v.add(key+".key_hashes", fmt.Sprintf("holds a key of client account %q", other), "give each client account keys of its own")
	}
	seen[hash] = account
}

func (v *validator) hasDataCentre(name string) bool {
	for _, dc := range v.doc.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}

func (v *validator) hasService(name string) bool {
	for _, s := range v.doc.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}
