package inventory

import (
	"encoding/hex"
	"fmt"
	"net/netip"
)

const keyHashBytes = 32

// Fault is one error in a document, with the key at which it occurs and a
// remedy.
type Fault struct {
	Key     string
	Problem string
	Remedy  string
}

// Error formats the fault as one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s; %s", f.Key, f.Problem, f.Remedy)
}

// Validate returns all faults of the document, grouped by kind of entity.
func (d *Document) Validate() []Fault {
	v := validator{doc: d}
	v.checkDataCentres()
	v.checkServices()
	v.checkVMs()
	v.checkModels()
	v.checkClientAccounts()
	return v.faults
}

type validator struct {
	doc    *Document
	faults []Fault
}

func (v *validator) addFault(key, problem, remedy string) {
	v.faults = append(v.faults, Fault{Key: key, Problem: problem, Remedy: remedy})
}

// checkName reports an empty or repeated name and adds the name to seen.
func (v *validator) checkName(seen map[string]bool, key, name string) {
	switch {
	case name == "":
		v.addFault(key+".name", "is empty", "set a name")
	case seen[name]:
		v.addFault(key+".name", fmt.Sprintf("%q appears twice", name), "remove or rename one of them")
	}
	seen[name] = true
}

// checkInFlight checks the limits of concurrent requests of a model or service.
func (v *validator) checkInFlight(key string, maxInFlight, cold, warmAfter int) {
	if warmAfter < 0 {
		v.addFault(key+".warm_after", "is negative", "set the number of complete answers after which an endpoint is warm, or omit it")
	}
	if maxInFlight < 1 {
		v.addFault(key+".max_in_flight", "is below 1", "set the number of concurrent requests that a warm endpoint can handle")
	}
	if cold < 1 || cold > maxInFlight {
		v.addFault(key+".cold_in_flight", "is not between 1 and max_in_flight", "set the number of concurrent requests that a cold endpoint can handle")
	}
}

func (v *validator) checkDataCentres() {
	seen := map[string]bool{}
	for i, dc := range v.doc.DataCentres {
		v.checkName(seen, fmt.Sprintf("data_centres[%d]", i), dc.Name)
	}
	if len(v.doc.DataCentres) == 0 {
		v.addFault("data_centres", "is empty", "declare at least one data centre")
	}
}

func (v *validator) checkServices() {
	seen := map[string]bool{}
	for i, s := range v.doc.Services {
		key := fmt.Sprintf("services[%d]", i)
		v.checkName(seen, key, s.Name)
		v.checkInFlight(key, s.MaxInFlight, s.ColdInFlight, s.WarmAfter)
	}
}

func (v *validator) checkVMs() {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, vm := range v.doc.VMs {
		key := fmt.Sprintf("vms[%d]", i)
		v.checkName(names, key, vm.Name)
		v.checkAddress(addresses, key, vm)
		if !v.hasDataCentre(vm.DataCentre) {
			v.addFault(key+".data_centre", fmt.Sprintf("%q is not declared", vm.DataCentre), "add it under data_centres or correct the name")
		}
		v.checkRole(key, vm)
	}
}

func (v *validator) checkAddress(seen map[string]string, key string, vm VM) {
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		v.addFault(key+".address", fmt.Sprintf("%q is not an IP address and port", vm.Address), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := seen[vm.Address]; ok {
		v.addFault(key+".address", fmt.Sprintf("%s is also the address of VM %q", vm.Address, other), "give each VM a different address")
	}
	seen[vm.Address] = vm.Name
}

// checkRole checks the role of a VM and the fields that the role requires.
func (v *validator) checkRole(key string, vm VM) {
	switch vm.Role {
	case RoleEntry:
	case RoleModel:
		if vm.FabricDomain == "" {
			v.addFault(key+".fabric_domain", "is empty", "name the fabric domain of the model VM")
		}
	case RoleService:
		if !v.hasService(vm.Service) {
			v.addFault(key+".service", fmt.Sprintf("%q is not declared", vm.Service), "add it under services or correct the name")
		}
	default:
		v.addFault(key+".role", fmt.Sprintf("%q is unknown", vm.Role), "use entry, model or service")
	}
}

func (v *validator) checkModels() {
	seen := map[string]bool{}
	for i, m := range v.doc.Models {
		key := fmt.Sprintf("models[%d]", i)
		v.checkName(seen, key, m.Name)
		v.checkInFlight(key, m.MaxInFlight, m.ColdInFlight, m.WarmAfter)
		for _, dc := range m.DataCentres {
			if !v.hasDataCentre(dc) {
				v.addFault(key+".data_centres", fmt.Sprintf("%q is not declared", dc), "add it under data_centres or correct the name")
			}
		}
		v.checkGroupSize(key, m)
	}
}

// checkGroupSize checks that at least one fabric domain that the model may use
// has enough VMs for a group.
func (v *validator) checkGroupSize(key string, m Model) {
	if m.GroupSize < 1 {
		v.addFault(key+".group_size", "is below 1", "set the number of VMs that one replica spans")
		return
	}
	largest := v.largestDomainSize(m)
	if m.GroupSize > largest {
		problem := fmt.Sprintf("no fabric domain has %d VMs; the largest allowed one has %d", m.GroupSize, largest)
		v.addFault(key+".group_size", problem, "lower it, or add VMs to a fabric domain")
	}
}

// largestDomainSize returns the number of model VMs in the largest fabric domain
// that the model may use.
func (v *validator) largestDomainSize(m Model) int {
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

func (v *validator) checkClientAccounts() {
	seen := map[string]bool{}
	hashes := map[string]string{}
	for i, a := range v.doc.ClientAccounts {
		key := fmt.Sprintf("client_accounts[%d]", i)
		v.checkName(seen, key, a.Name)
		if a.MaxInFlight < 1 {
			v.addFault(key+".max_in_flight", "is below 1", "set the account's limit of concurrent requests")
		}
		for _, h := range a.KeyHashes {
			v.checkKeyHash(hashes, key, a.Name, h)
		}
	}
}

// checkKeyHash checks one key hash. seen maps the hashes of all accounts to the
// account's name.
func (v *validator) checkKeyHash(seen map[string]string, key, account, hash string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != keyHashBytes {
		v.addFault(key+".key_hashes", "contains a value that is not a hex SHA-256 digest", "create one with pimentoshore hash-key")
		return
	}
	if other, ok := seen[hash]; ok {
		v.addFault(key+".key_hashes", fmt.Sprintf("contains a key of client account %q", other), "use different keys for each client account")
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
