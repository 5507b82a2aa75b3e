// Package inventory defines what operators declare: data centres, VMs, models,
// services and client accounts. It contains only lookup and validation, so that
// every other package can depend on it.
package inventory

import "slices"

// Role is the kind of program that a VM runs.
type Role string

// Roles of a VM.
const (
	RoleEntry   Role = "entry"   // runs pimentoshored
	RoleModel   Role = "model"   // runs a model engine and joins groups
	RoleService Role = "service" // runs a plain service
)

// DataCentre is a data centre. Its VMs receive no new work while Out is set.
type DataCentre struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
	Out    bool   `toml:"out,omitempty" json:"out,omitempty"`
}

// VM is an entry in the operators' asset register.
type VM struct {
	Name         string `toml:"name" json:"name"`
	DataCentre   string `toml:"data_centre" json:"data_centre"`
	FabricDomain string `toml:"fabric_domain,omitempty" json:"fabric_domain,omitempty"`
	Role         Role   `toml:"role" json:"role"`
	// Address is the host:port of the engine's or service's HTTP interface,
	// or of the peer interface of an entry VM.
	Address      string `toml:"address" json:"address"`
	Accelerators int    `toml:"accelerators,omitempty" json:"accelerators,omitempty"`
	// Service names the plain service that a RoleService VM runs.
	Service string `toml:"service,omitempty" json:"service,omitempty"`
	// ChecksFencing reports whether the endpoint refuses orders that are older
	// than the newest one that it has received.
	ChecksFencing bool `toml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// Out excludes the VM from new work.
	Out bool `toml:"out,omitempty" json:"out,omitempty"`
}

// Model is one model with the rules for its groups.
type Model struct {
	Name string `toml:"name" json:"name"`
	// GroupSize is the number of VMs that one replica spans.
	GroupSize int `toml:"group_size" json:"group_size"`
	// Groups is the desired number of groups in each allowed data centre; 0
	// means as many as the VMs allow.
	Groups int `toml:"groups,omitempty" json:"groups,omitempty"`
	// DataCentres lists the data centres in which the model may run; empty
	// means all of them.
	DataCentres []string `toml:"data_centres,omitempty" json:"data_centres,omitempty"`
	// MaxInFlight is the number of concurrent requests that a warm group can
	// handle, ColdInFlight the number that a group can handle right after a
	// cold start.
	MaxInFlight  int `toml:"max_in_flight" json:"max_in_flight"`
	ColdInFlight int `toml:"cold_in_flight" json:"cold_in_flight"`
	// WarmAfter is the number of complete answers after a cold start until
	// which the group is limited to ColdInFlight; 0 means DefaultWarmAfter.
	WarmAfter int `toml:"warm_after,omitempty" json:"warm_after,omitempty"`
}

// DefaultWarmAfter is the number of complete answers after which an endpoint is
// considered warm, unless the inventory sets another one.
const DefaultWarmAfter = 8

// Route specifies whether calls to a path prefix of a service may be repeated.
// Calls that match no route are treated as non-idempotent, unless their method
// is idempotent according to RFC 9110.
type Route struct {
	Method     string `toml:"method" json:"method"`
	Prefix     string `toml:"prefix" json:"prefix"`
	Idempotent bool   `toml:"idempotent" json:"idempotent"`
	// NotRunStatuses are the HTTP statuses by which the service indicates that
	// it refused a call without running it.
	NotRunStatuses []int `toml:"not_run_statuses,omitempty" json:"not_run_statuses,omitempty"`
}

// Service is a plain HTTP service to which the system forwards calls.
type Service struct {
	Name         string  `toml:"name" json:"name"`
	Routes       []Route `toml:"routes,omitempty" json:"routes,omitempty"`
	MaxInFlight  int     `toml:"max_in_flight" json:"max_in_flight"`
	ColdInFlight int     `toml:"cold_in_flight" json:"cold_in_flight"`
	// WarmAfter has the same meaning as Model.WarmAfter.
	WarmAfter int `toml:"warm_after,omitempty" json:"warm_after,omitempty"`
}

// ClientAccount is a customer with its keys and limits.
type ClientAccount struct {
	Name string `toml:"name" json:"name"`
	// KeyHashes are the lower-case hexadecimal SHA-256 digests of the bearer
	// keys.
	KeyHashes []string `toml:"key_hashes" json:"key_hashes"`
	// MaxInFlight limits the number of concurrent requests across all entry
	// VMs.
	MaxInFlight int `toml:"max_in_flight" json:"max_in_flight"`
	// Weight is the account's share of the capacity under overload, relative to
	// the other accounts.
	Weight int `toml:"weight,omitempty" json:"weight,omitempty"`
	// Priority determines the order of queued requests. Higher values are
	// served first.
	Priority int `toml:"priority,omitempty" json:"priority,omitempty"`
}

// Document is a complete inventory.
type Document struct {
	DataCentres    []DataCentre    `toml:"data_centres" json:"data_centres"`
	VMs            []VM            `toml:"vms" json:"vms"`
	Models         []Model         `toml:"models" json:"models"`
	Services       []Service       `toml:"services,omitempty" json:"services,omitempty"`
	ClientAccounts []ClientAccount `toml:"client_accounts" json:"client_accounts"`
}

// Allows reports whether the model may run in the data centre.
func (m Model) Allows(dataCentre string) bool {
	return len(m.DataCentres) == 0 || slices.Contains(m.DataCentres, dataCentre)
}
