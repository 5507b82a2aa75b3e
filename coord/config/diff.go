package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Diff returns the change that turns old into new, without number, tokens and
// author. Applying it to old yields the normalized form of new.
func Diff(old, new inventory.Document) Change {
	old, new = Normalize(old), Normalize(new)
	var c Change
	c.Put.DataCentres, c.Delete.DataCentres = diffEntities(dataCentres, old.DataCentres, new.DataCentres)
	c.Put.VMs, c.Delete.VMs = diffEntities(vms, old.VMs, new.VMs)
	c.Put.Models, c.Delete.Models = diffEntities(models, old.Models, new.Models)
	c.Put.Services, c.Delete.Services = diffEntities(services, old.Services, new.Services)
	c.Put.ClientAccounts, c.Delete.ClientAccounts = diffEntities(clientAccounts, old.ClientAccounts, new.ClientAccounts)
	return c
}

// diffEntities compares two lists that are sorted by name. It returns the
// entities of new that old lacks or has with other values, and the names of
// those that only old contains.
func diffEntities[T any](k kind[T], old, new []T) (put []T, del []string) {
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || len(old) > 0 && k.name(old[0]) < k.name(new[0]):
			del = append(del, k.name(old[0]))
			old = old[1:]
		case len(old) == 0 || k.name(new[0]) < k.name(old[0]):
			put = append(put, new[0])
			new = new[1:]
		default:
			if !reflect.DeepEqual(old[0], new[0]) {
				put = append(put, new[0])
			}
			old, new = old[1:], new[1:]
		}
	}
	return put, del
}

// Describe formats a change for operators, as one line per entity. Lines are
// grouped by kind; within a kind, the entities that are put come before those
// that are removed. A line starts with + for an added entity, ~ for a modified
// one and - for a removed one. The lines of added and modified entities list
// the fields that differ.
func Describe(old inventory.Document, c Change) []string {
	var lines []string
	lines = describeEntities(lines, dataCentres, old.DataCentres, c.Put.DataCentres, c.Delete.DataCentres)
	lines = describeEntities(lines, vms, old.VMs, c.Put.VMs, c.Delete.VMs)
	lines = describeEntities(lines, models, old.Models, c.Put.Models, c.Delete.Models)
	lines = describeEntities(lines, services, old.Services, c.Put.Services, c.Delete.Services)
	return describeEntities(lines, clientAccounts, old.ClientAccounts, c.Put.ClientAccounts, c.Delete.ClientAccounts)
}

func describeEntities[T any](lines []string, k kind[T], old, put []T, del []string) []string {
	known := make(map[string]T, len(old))
	for _, e := range old {
		known[k.name(e)] = e
	}
	for _, e := range put {
		before, ok := known[k.name(e)]
		sign := "~"
		if !ok {
			sign = "+"
		}
		lines = append(lines, fmt.Sprintf("%s %s %s: %s", sign, k.label, k.name(e), describeFields(before, e)))
	}
	for _, name := range del {
		lines = append(lines, fmt.Sprintf("- %s %s", k.label, name))
	}
	return lines
}

// describeFields lists the fields that differ, by their TOML names in struct
// order.
func describeFields[T any](before, after T) string {
	var parts []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		tag, _, _ := strings.Cut(b.Type().Field(i).Tag.Get("toml"), ",")
		if tag == "name" || reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %s -> %s", tag, formatValue(a.Field(i)), formatValue(b.Field(i))))
	}
	return strings.Join(parts, ", ")
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.Interface())
	}
	return fmt.Sprintf("%v", v.Interface())
}
