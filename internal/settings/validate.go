package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// minProbesPerLease is the minimum length of a lease in probe intervals. It
// prevents a lease from expiring because of one lost message.
const minProbesPerLease = 3

const (
	// maxMemoryMB is the largest amount of memory in a setting, 1 TB. Its number of
	// bytes and small multiples of it fit into an int64.
	maxMemoryMB = 1 << 20
	// minOpenFiles is the smallest useful number of descriptors: 200 are reserved for
	// files, and each request needs one for its caller and one for its endpoint.
	minOpenFiles = 256
)

type validator struct {
	faults []inventory.Fault
}

// Validate returns a fault for every invalid value of the settings.
func (s *Settings) Validate() []inventory.Fault {
	v := &validator{}
	v.checkNotEmpty("vm", s.VM, "use the VM's name in the inventory")
	v.checkNotEmpty("data_centre", s.DataCentre, "use the data centre's name in the inventory")
	v.checkListen(s.Listen)
	v.checkPlatform(s.Platform)
	v.checkPeers(s.Peers)
	v.checkLog(s.Log)
	v.checkTrace(s.Trace)
	v.checkTLS(s.TLS)
	v.checkIntervals(s.Intervals)
	v.checkLimits(s.Limits)
	return v.faults
}

func (v *validator) addFault(key, problem, remedy string) {
	v.faults = append(v.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
}

func (v *validator) checkNotEmpty(key, value, remedy string) {
	if value == "" {
		v.addFault(key, "is empty", remedy)
	}
}

func (v *validator) checkListen(l Listen) {
	addresses := []struct{ key, value string }{
		{"listen.callers", l.Callers}, {"listen.peers", l.Peers}, {"listen.operators", l.Operators},
	}
	seen := map[string]string{}
	for _, a := range addresses {
		v.checkAddress(seen, a.key, a.value)
	}
}

// checkAddress checks that value is an IP address and port that no other key in
// seen has. Port 0 may occur several times, since the system then chooses a free
// port for each.
func (v *validator) checkAddress(seen map[string]string, key, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		v.addFault(key, fmt.Sprintf("%q is not an IP address and port", value), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := seen[value]; ok && parsed.Port() != 0 {
		v.addFault(key, fmt.Sprintf("%s is also the address of %s", value, other), "give each a different address")
		return
	}
	seen[value] = key
}

func (v *validator) checkPlatform(p Platform) {
	if len(p.URLs) == 0 {
		v.addFault("platform.urls", "is empty", "set at least one URL of the table service")
	}
	seen := map[string]bool{}
	for i, raw := range p.URLs {
		key := fmt.Sprintf("platform.urls[%d]", i)
		v.checkHTTPURL(key, raw)
		if seen[raw] {
			v.addFault(key, fmt.Sprintf("%s appears twice", raw), "remove one of them")
		}
		seen[raw] = true
	}
	v.checkPositive("platform.timeout", p.Timeout)
}

func (v *validator) checkHTTPURL(key, raw string) {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.addFault(key, fmt.Sprintf("%q is not an HTTP URL", raw), "write it as http://10.0.0.9:9000")
	}
}

func (v *validator) checkPeers(peers []Peer) {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, p := range peers {
		key := fmt.Sprintf("peers[%d]", i)
		v.checkNotEmpty(key+".vm", p.VM, "use the VM's name in the inventory")
		v.checkNotEmpty(key+".data_centre", p.DataCentre, "use the data centre's name in the inventory")
		if names[p.VM] && p.VM != "" {
			v.addFault(key+".vm", fmt.Sprintf("%q appears twice", p.VM), "remove one of them")
		}
		names[p.VM] = true
		v.checkAddress(addresses, key+".address", p.Address)
	}
}

func (v *validator) checkLog(l Log) {
	if l.Format != LogText && l.Format != LogJSON {
		v.addFault("log.format", fmt.Sprintf("%q is unknown", l.Format), "use text or json")
	}
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		v.addFault("log.level", fmt.Sprintf("%q is unknown", l.Level), "use debug, info, warn or error")
	}
}

func (v *validator) checkTrace(t Trace) {
	if t.OTLPEndpoint != "" && t.File != "" {
		v.addFault("trace.file", "is set in addition to otlp_endpoint", "set only one of them")
	}
	if t.OTLPEndpoint != "" {
		v.checkHTTPURL("trace.otlp_endpoint", t.OTLPEndpoint)
	}
}

func (v *validator) checkTLS(t TLS) {
	if t == (TLS{}) {
		return
	}
	const remedy = "set ca, cert and key together, or none of them"
	v.checkNotEmpty("tls.ca", t.CA, remedy)
	v.checkNotEmpty("tls.cert", t.Cert, remedy)
	v.checkNotEmpty("tls.key", t.Key, remedy)
}

func (v *validator) checkIntervals(i Intervals) {
	v.checkPositive("intervals.tick", i.Tick)
	v.checkPositive("intervals.probe", i.Probe)
	v.checkPositive("intervals.exchange", i.Exchange)
	v.checkPositive("intervals.config_poll", i.ConfigPoll)
	v.checkPositive("intervals.stop_grace", i.StopGrace)
	if i.ReportTTL <= i.Probe {
		v.addFault("intervals.report_ttl", fmt.Sprintf("%s is not longer than the probe interval of %s", i.ReportTTL, i.Probe),
			"make it at least twice intervals.probe")
	}
	if i.Lease < minProbesPerLease*i.Probe || i.Lease <= 0 {
		v.addFault("intervals.lease", fmt.Sprintf("%s is shorter than %d probe intervals of %s", i.Lease, minProbesPerLease, i.Probe),
			"lengthen it or shorten intervals.probe")
	}
}

func (v *validator) checkLimits(l Limits) {
	if l.MaxBodyBytes < 1 {
		v.addFault("limits.max_body_bytes", "is below 1", "set the largest request body in bytes")
	}
	if l.MaxHeaderBytes < 1 {
		v.addFault("limits.max_header_bytes", "is below 1", "set the largest request header in bytes")
	}
	v.checkPositive("limits.request_timeout", l.RequestTimeout)
	if l.RequestMemoryMB < 1 || l.RequestMemoryMB > maxMemoryMB {
		v.addFault("limits.request_memory_mb", fmt.Sprintf("is not between 1 and %d", maxMemoryMB), "set the memory for request bodies in MB")
	}
	if l.Connections < 0 {
		v.addFault("limits.connections", "is negative", "set the largest number of callers' connections, or 0 to derive it from the descriptors")
	}
	if l.OpenFiles != 0 && l.OpenFiles < minOpenFiles {
		v.addFault("limits.open_files", fmt.Sprintf("is below %d", minOpenFiles),
			"set the number of descriptors that the daemon may use, or 0 for the limit of the process")
	}
	v.checkPositive("limits.idle_timeout", l.IdleTimeout)
	v.checkPositive("limits.header_timeout", l.HeaderTimeout)
	v.checkPositive("limits.stalled_write", l.StalledWrite)
}

func (v *validator) checkPositive(key string, d time.Duration) {
	if d <= 0 {
		v.addFault(key, fmt.Sprintf("%s is not above zero", d), `set a duration such as "2s"`)
	}
}
