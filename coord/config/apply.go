package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Apply returns the document that results from applying c to doc, with the
// entities of each kind sorted by name. It does not modify doc; kinds that the
// change does not touch share their storage with the result. If the change is
// invalid, Apply returns doc and a problem.ConfigInvalid error that lists every
// fault.
func Apply(doc inventory.Document, c Change) (inventory.Document, error) {
	next, faults := mergeDocument(doc, c)
	faults = append(faults, next.Validate()...)
	if len(faults) > 0 {
		return doc, invalidError(c.Number, faults)
	}
	return next, nil
}

// mergeDocument applies c to doc without validating the result. The faults are
// those of the change itself, such as deleting an unknown entity.
func mergeDocument(doc inventory.Document, c Change) (inventory.Document, []inventory.Fault) {
	var faults []inventory.Fault
	next := inventory.Document{
		DataCentres:    mergeEntities(&faults, dataCentres, doc.DataCentres, c.Put.DataCentres, c.Delete.DataCentres),
		VMs:            mergeEntities(&faults, vms, doc.VMs, c.Put.VMs, c.Delete.VMs),
		Models:         mergeEntities(&faults, models, doc.Models, c.Put.Models, c.Delete.Models),
		Services:       mergeEntities(&faults, services, doc.Services, c.Put.Services, c.Delete.Services),
		ClientAccounts: mergeEntities(&faults, clientAccounts, doc.ClientAccounts, c.Put.ClientAccounts, c.Delete.ClientAccounts),
	}
	return next, faults
}

// mergeEntities returns old with the entities in put added or replaced and
// those named in del removed, sorted by name.
func mergeEntities[T any](faults *[]inventory.Fault, k kind[T], old, put []T, del []string) []T {
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

// checkDeletes reports deletions of entities that do not exist, are also put or
// are deleted twice, and adds the deleted names to replaced.
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
			k.addFault(faults, name, "is both put and deleted, or deleted twice", "keep one of them")
		case !known[name]:
			k.addFault(faults, name, "is deleted but does not exist", "remove it from the deletions")
		}
		replaced[name] = true
	}
}

// Normalize returns the document in its stored form: entities sorted by name
// and nil instead of empty slices. It does not modify its argument.
func Normalize(doc inventory.Document) inventory.Document {
	return inventory.Document{
		DataCentres:    dataCentres.normalize(doc.DataCentres),
		VMs:            vms.normalize(doc.VMs),
		Models:         models.normalize(doc.Models),
		Services:       services.normalize(doc.Services),
		ClientAccounts: clientAccounts.normalize(doc.ClientAccounts),
	}
}

// invalidError returns a problem.ConfigInvalid error that lists the faults of
// the change with the given number.
func invalidError(number uint64, faults []inventory.Fault) error {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.Error()
	}
	message := fmt.Sprintf("change %d is not valid: %s", number, strings.Join(lines, " | "))
	return problem.New(problem.ConfigInvalid, message, "correct the listed keys and apply again")
}

// kind describes one kind of entity in a document.
type kind[T any] struct {
	key             string // the key in documents
	label           string // the name shown to operators
	name            func(T) string
	normalizeEntity func(T) T // replaces empty slices by nil
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
		out[i] = k.normalizeEntity(e)
	}
	k.sort(out)
	return out
}

func (k kind[T]) addFault(faults *[]inventory.Fault, name, message, remedy string) {
	*faults = append(*faults, inventory.Fault{Key: k.key + "." + name, Problem: message, Remedy: remedy})
}

var (
	dataCentres = kind[inventory.DataCentre]{
		key: "data_centres", label: "data centre",
		name:            func(e inventory.DataCentre) string { return e.Name },
		normalizeEntity: func(e inventory.DataCentre) inventory.DataCentre { return e },
	}
	vms = kind[inventory.VM]{
		key: "vms", label: "VM",
		name:            func(e inventory.VM) string { return e.Name },
		normalizeEntity: func(e inventory.VM) inventory.VM { return e },
	}
	models = kind[inventory.Model]{
		key: "models", label: "model",
		name: func(e inventory.Model) string { return e.Name },
		normalizeEntity: func(e inventory.Model) inventory.Model {
			e.DataCentres = nonEmpty(e.DataCentres)
			return e
		},
	}
	services = kind[inventory.Service]{
		key: "services", label: "service",
		name: func(e inventory.Service) string { return e.Name },
		normalizeEntity: func(e inventory.Service) inventory.Service {
			e.Routes = nonEmpty(e.Routes)
			return e
		},
	}
	clientAccounts = kind[inventory.ClientAccount]{
		key: "client_accounts", label: "client account",
		name: func(e inventory.ClientAccount) string { return e.Name },
		normalizeEntity: func(e inventory.ClientAccount) inventory.ClientAccount {
			e.KeyHashes = nonEmpty(e.KeyHashes)
			return e
		},
	}
)

// nonEmpty returns list, or nil if it is empty.
func nonEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}
