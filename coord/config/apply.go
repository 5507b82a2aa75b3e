package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Apply returns the document after a change, with the entities of each kind
// in order of name. It leaves doc as it is; kinds that the change does not
// touch share their storage with the result. The error, of kind
// problem.ConfigInvalid, lists every fault.
func Apply(doc inventory.Document, c Change) (inventory.Document, error) {
	next, faults := merged(doc, c)
	faults = append(faults, next.Validate()...)
	if len(faults) > 0 {
		return doc, invalid(c.Number, faults)
	}
	return next, nil
}

func merged(doc inventory.Document, c Change) (inventory.Document, []inventory.Fault) {
	var faults []inventory.Fault
	next := inventory.Document{
		DataCentres:    merge(&faults, dataCentres, doc.DataCentres, c.Put.DataCentres, c.Delete.DataCentres),
		VMs:            merge(&faults, vms, doc.VMs, c.Put.VMs, c.Delete.VMs),
		Models:         merge(&faults, models, doc.Models, c.Put.Models, c.Delete.Models),
		Services:       merge(&faults, services, doc.Services, c.Put.Services, c.Delete.Services),
		ClientAccounts: merge(&faults, clientAccounts, doc.ClientAccounts, c.Put.ClientAccounts, c.Delete.ClientAccounts),
	}
	return next, faults
}

func merge[T any](faults *[]inventory.Fault, k kind[T], old, put []T, del []string) []T {
	if len(put)+len(del) == 0 {
		return old
	}
	replaced := make(map[string]bool, len(put)+len(del))
	for _, e := range put {
		replaced[k.name(e)] = true
	}
	checkDeletes(faults, k, old, replaced, del)
	next := make([]T, 0, len(old)+len(put))
	for _, e := range old {
		if !replaced[k.name(e)] {
			next = append(next, e)
		}
	}
	next = append(next, put...)
	k.sort(next)
	return nonEmpty(next)
}

// checkDeletes reports deletes that make no sense and adds the names to replaced.
func checkDeletes[T any](faults *[]inventory.Fault, k kind[T], old []T, replaced map[string]bool, del []string) {
	if len(del) == 0 {
		return
	}
	known := make(map[string]bool, len(old))
	for _, e := range old {
		known[k.name(e)] = true
	}
	for _, name := range del {
		switch {
		case replaced[name]:
			k.fault(faults, name, "is both put and deleted, or deleted twice", "keep one of them")
		case !known[name]:
			k.fault(faults, name, "is deleted but does not exist", "remove it from the deletions")
		}
		replaced[name] = true
	}
}

// Normalize returns the document in its stored form: entities in order of
// name and no empty slices. The argument is not altered.
func Normalize(doc inventory.Document) inventory.Document {
	return inventory.Document{
		DataCentres:    dataCentres.normalize(doc.DataCentres),
		VMs:            vms.normalize(doc.VMs),
		Models:         models.normalize(doc.Models),
		Services:       services.normalize(doc.Services),
		ClientAccounts: clientAccounts.normalize(doc.ClientAccounts),
	}
}

func invalid(number uint64, faults []inventory.Fault) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.Error()
	}
	message := fmt.Sprintf("change %d is not valid: %s", number, strings.Join(lines, " | "))
	return problem.New(problem.ConfigInvalid, message, "correct the listed keys and apply again")
}

// kind describes one kind of entity.
type kind[T any] struct {
	key   string // in documents
	label string // in listings
	name  func(T) string
	clean func(T) T
}

func (k kind[T]) sort(list []T) {
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(k.name(a), k.name(b)) })
}

func (k kind[T]) normalize(list []T) []T {
	if len(list) == 0 {
		return nil
	}
	out := make([]T, len(list))
	for i, e := range list {
		out[i] = k.clean(e)
	}
	k.sort(out)
	return out
}

func (k kind[T]) fault(faults *[]inventory.Fault, name, message, remedy string) {
	*faults = append(*faults, inventory.Fault{Key: k.key + "." + name, Problem: message, Remedy: remedy})
}

var (
	dataCentres = kind[inventory.DataCentre]{
		key: "data_centres", label: "data centre",
		name:  func(e inventory.DataCentre) string { return e.Name },
		clean: func(e inventory.DataCentre) inventory.DataCentre { return e },
	}
	vms = kind[inventory.VM]{
		key: "vms", label: "VM",
		name:  func(e inventory.VM) string { return e.Name },
		clean: func(e inventory.VM) inventory.VM { return e },
	}
	models = kind[inventory.Model]{
		key: "models", label: "model",
		name: func(e inventory.Model) string { return e.Name },
		clean: func(e inventory.Model) inventory.Model {
			e.DataCentres = nonEmpty(e.DataCentres)
			return e
		},
	}
	services = kind[inventory.Service]{
		key: "services", label: "service",
		name: func(e inventory.Service) string { return e.Name },
		clean: func(e inventory.Service) inventory.Service {
			e.Routes = nonEmpty(e.Routes)
			return e
		},
	}
	clientAccounts = kind[inventory.ClientAccount]{
		key: "client_accounts", label: "client account",
		name: func(e inventory.ClientAccount) string { return e.Name },
		clean: func(e inventory.ClientAccount) inventory.ClientAccount {
			e.KeyHashes = nonEmpty(e.KeyHashes)
			return e
		},
	}
)

func nonEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
