package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// Entry contains the settings of an entry VM on the users' platform.
type Entry struct {
	// VM and DataCentre are the names of the entry VM and its data centre.
	VM         string      `toml:"vm"`
	DataCentre string      `toml:"data_centre"`
	Listen     EntryListen `toml:"listen"`
	// Store is the IP address and port of the platform's store.
	Store  string      `toml:"store"`
	Memory EntryMemory `toml:"memory"`
	Limits EntryLimits `toml:"limits"`
	Bounds EntryBounds `toml:"bounds"`
	// Planning applies while this VM plans the groups of endpoint VMs.
	Planning EntryPlanning `toml:"planning"`
	Outage   EntryOutage   `toml:"outage"`
	Log      Log           `toml:"log"`
}

// EntryListen contains the addresses on which the entry VM listens.
type EntryListen struct {
	Callers string `toml:"callers"`
	// Ready is the address at which the entry VM answers whether it is ready
	// for callers.
	Ready string `toml:"ready"`
	// Metrics is the address of the metrics endpoint. It may be empty.
	Metrics string `toml:"metrics"`
	// Peers is the address for requests by other entry VMs for the state that
	// this one has. If it is empty, the VM neither answers nor sends such
	// requests.
	Peers string `toml:"peers"`
}

// EntryMemory limits the daemon's memory.
type EntryMemory struct {
	LimitMB int64 `toml:"limit_mb"`
}

// EntryLimits limits what callers' connections may hold.
type EntryLimits struct {
	// Connections is the maximum number of callers' connections. 0 derives it from
	// the number of descriptors and the memory limit.
	Connections int `toml:"connections"`
	// OpenFiles is the number of descriptors that the process may use. 0 means the
	// process's own limit, which also applies if it is lower.
	OpenFiles int64 `toml:"open_files"`
	// StalledWrite is how long a write to a caller may make no progress.
	StalledWrite time.Duration `toml:"stalled_write"`
}

// Values of EntryPlanning.FollowDemand.
const (
	// FollowAuto means on for services whose routes have different priorities.
	FollowAuto = "auto"
	FollowOn   = "on"
	FollowOff  = "off"
)

// EntryPlanning contains the settings of planning.
type EntryPlanning struct {
	// FollowDemand is whether the number of groups of each model follows its load
	// instead of its configured share.
	FollowDemand string `toml:"follow_demand"`
}

// EntryOutage contains the settings for outages of the platform's store.
type EntryOutage struct {
	// SpreadReads is whether more than 12 entry VMs share the reads of a store that
	// is away, so that their calls stay bounded whatever their number.
	SpreadReads bool `toml:"spread_reads"`
}

// EntryBounds contains the bounds that the operators require.
type EntryBounds struct {
	// KeysValid is the maximum time for which a withdrawn key may still be
	// accepted.
	KeysValid time.Duration `toml:"keys_valid"`
	// DrainWithin is the maximum time until an endpoint that is leaving
	// receives no new requests.
	DrainWithin time.Duration `toml:"drain_within"`
	// StopGrace limits the duration of a graceful shutdown.
	StopGrace time.Duration `toml:"stop_grace"`
	// GroupStall is the time for which the head of a group stalls after it has
	// lost a member, before it gives up.
	GroupStall   time.Duration `toml:"group_stall"`
	RepeatRatio  float64       `toml:"repeat_ratio"`
	RepeatSlack  float64       `toml:"repeat_slack"`
	RepeatWindow time.Duration `toml:"repeat_window"`
	ColdOverage  float64       `toml:"cold_overage"`
	ColdSlack    float64       `toml:"cold_slack"`
	LoadWindow   time.Duration `toml:"load_window"`
}

// DefaultEntry returns the values of keys that are absent from the file.
func DefaultEntry() Entry {
	return Entry{
		Log:      Log{Format: LogJSON, Level: "info"},
		Limits:   EntryLimits{StalledWrite: 15 * time.Second},
		Planning: EntryPlanning{FollowDemand: FollowAuto},
		Bounds: EntryBounds{
			KeysValid: 5 * time.Second, DrainWithin: 2 * time.Second, StopGrace: 8 * time.Second, GroupStall: 5 * time.Second,
			RepeatRatio: 0.2, RepeatSlack: 20, RepeatWindow: 10 * time.Second, ColdOverage: 1.5, ColdSlack: 5,
			LoadWindow: 5 * time.Second,
		},
	}
}

// LoadEntry reads the settings file of an entry VM. The error is an *Error,
// unless the file cannot be read.
func LoadEntry(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, errors.Annotate(err, "reading settings; name a file that exists")
	}
	s := DefaultEntry()
	err = Decode(path, data, &s)
	return s, err
}

// Validate returns a fault for every invalid value of the settings.
func (e *Entry) Validate() []inventory.Fault {
	v := &validator{}
	v.checkNotEmpty("vm", e.VM, "name the VM")
	v.checkNotEmpty("data_centre", e.DataCentre, "name the data centre")
	seen := map[string]string{}
	v.checkAddress(seen, "listen.callers", e.Listen.Callers)
	v.checkAddress(seen, "listen.ready", e.Listen.Ready)
	if e.Listen.Metrics != "" {
		v.checkAddress(seen, "listen.metrics", e.Listen.Metrics)
	}
	if e.Listen.Peers != "" {
		v.checkAddress(seen, "listen.peers", e.Listen.Peers)
	}
	if _, err := netip.ParseAddrPort(e.Store); err != nil {
		v.addFault("store", fmt.Sprintf("%q is not an IP address and port", e.Store), "write it as 10.0.0.1:8000")
	}
	v.checkLog(e.Log)
	if e.Memory.LimitMB < 0 {
		v.addFault("memory.limit_mb", "is negative", "use 0 for no limit")
	}
	v.checkEntryLimits(e.Limits)
	v.checkEntryBounds(e.Bounds)
	switch e.Planning.FollowDemand {
	case FollowAuto, FollowOn, FollowOff:
	default:
		v.addFault("planning.follow_demand", fmt.Sprintf("%q is not a known value", e.Planning.FollowDemand), `use "auto", "on" or "off"`)
	}
	return v.faults
}

func (v *validator) checkEntryLimits(l EntryLimits) {
	if l.Connections < 0 {
		v.addFault("limits.connections", "is negative", "leave it out for the default")
	}
	if l.OpenFiles < 0 {
		v.addFault("limits.open_files", "is negative", "leave it out for the process's own limit")
	}
	if l.StalledWrite <= 0 {
		v.addFault("limits.stalled_write", "is not a positive duration", `write it as "15s"`)
	}
}

func (v *validator) checkEntryBounds(b EntryBounds) {
	positive := []struct {
		key   string
		value time.Duration
	}{
		{"bounds.keys_valid", b.KeysValid},
		{"bounds.drain_within", b.DrainWithin}, {"bounds.stop_grace", b.StopGrace},
		{"bounds.group_stall", b.GroupStall}, {"bounds.repeat_window", b.RepeatWindow},
		{"bounds.load_window", b.LoadWindow},
	}
	for _, p := range positive {
		if p.value <= 0 {
			v.addFault(p.key, "is not a positive duration", `write it as "2s"`)
		}
	}
	if b.RepeatRatio < 0 || b.RepeatSlack < 0 || b.ColdOverage < 0 || b.ColdSlack < 0 {
		v.addFault("bounds", "has a negative ratio or slack", "use 0 or more")
	}
}
