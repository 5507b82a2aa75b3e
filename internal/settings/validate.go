package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// minLeaseInProbes keeps a lease from lapsing on one lost message.
const minLeaseInProbes = 3

type validator struct {
	faults []inventory.Fault
}

// Validate returns every impossible value of the settings.
func (s *Settings) Validate() []inventory.Fault {
	v := &validator{}
	v.notEmpty("vm", s.VM, "name the VM as the inventory does")
	v.notEmpty("data_centre", s.DataCentre, "name the data centre as the inventory does")
	v.listen(s.Listen)
	v.platform(s.Platform)
	v.peers(s.Peers)
	v.log(s.Log)
	v.trace(s.Trace)
	v.tls(s.TLS)
	v.intervals(s.Intervals)
	v.limits(s.Limits)
	return v.faults
}

func (v *validator) add(key, problem, remedy string) {
	v.faults = append(v.faults, inventory.Fault{Key: key, Problem: problem, Remedy: remedy})
}

func (v *validator) notEmpty(key, value, remedy string) {
	if value == "" {
		v.add(key, "is empty", remedy)
	}
}

func (v *validator) listen(l Listen) {
	addresses := []struct{ key, value string }{
		{"listen.callers", l.Callers}, {"listen.peers", l.Peers}, {"listen.operators", l.Operators},
	}
	seen := map[string]string{}
	for _, a := range addresses {
		v.address(seen, a.key, a.value)
	}
}

// address checks one IP address and port, and that no other key has it.
// Port 0 may repeat, since each takes a free port.
func (v *validator) address(seen map[string]string, key, value string) {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil {
		v.add(key, fmt.Sprintf("%q is not an IP address and port", value), "write it as 10.0.0.1:8000")
		return
	}
	if other, ok := seen[value]; ok && parsed.Port() != 0 {
		v.add(key, fmt.Sprintf("%s is also the address of %s", value, other), "give each an address of its own")
		return
	}
	seen[value] = key
}

func (v *validator) platform(p Platform) {
	if len(p.URLs) == 0 {
		v.add("platform.urls", "is empty", "name at least one URL of the table service")
	}
	seen := map[string]bool{}
	for i, raw := range p.URLs {
		key := fmt.Sprintf("platform.urls[%d]", i)
		v.httpURL(key, raw)
		if seen[raw] {
			v.add(key, fmt.Sprintf("%s appears twice", raw), "remove one of them")
		}
		seen[raw] = true
	}
	v.positive("platform.timeout", p.Timeout)
}

func (v *validator) httpURL(key, raw string) {
	u, err := url.Parse(raw)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.add(key, fmt.Sprintf("%q is not an HTTP URL", raw), "write it as http://10.0.0.9:9000")
	}
}

func (v *validator) peers(peers []Peer) {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, p := range peers {
		key := fmt.Sprintf("peers[%d]", i)
		v.notEmpty(key+".vm", p.VM, "name the VM as the inventory does")
		v.notEmpty(key+".data_centre", p.DataCentre, "name the data centre as the inventory does")
		if names[p.VM] && p.VM != "" {
			v.add(key+".vm", fmt.Sprintf("%q appears twice", p.VM), "remove one of them")
		}
		names[p.VM] = true
		v.address(addresses, key+".address", p.Address)
	}
}

func (v *validator) log(l Log) {
	if l.Format != LogText && l.Format != LogJSON {
		v.add("log.format", fmt.Sprintf("%q is unknown", l.Format), "use text or json")
	}
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		v.add("log.level", fmt.Sprintf("%q is unknown", l.Level), "use debug, info, warn or error")
	}
}

func (v *validator) trace(t Trace) {
	if t.OTLPEndpoint != "" && t.File != "" {
		v.add("trace.file", "is set beside otlp_endpoint", "set only one of them")
	}
	if t.OTLPEndpoint != "" {
		v.httpURL("trace.otlp_endpoint", t.OTLPEndpoint)
	}
}

func (v *validator) tls(t TLS) {
	if t == (TLS{}) {
		return
	}
	const remedy = "set ca, cert and key together, or none of them"
	v.notEmpty("tls.ca", t.CA, remedy)
	v.notEmpty("tls.cert", t.Cert, remedy)
	v.notEmpty("tls.key", t.Key, remedy)
}

func (v *validator) intervals(i Intervals) {
	v.positive("intervals.tick", i.Tick)
	v.positive("intervals.probe", i.Probe)
	v.positive("intervals.exchange", i.Exchange)
	v.positive("intervals.config_poll", i.ConfigPoll)
	v.positive("intervals.stop_grace", i.StopGrace)
	if i.ReportTTL <= i.Probe {
		v.add("intervals.report_ttl", fmt.Sprintf("%s is not longer than the probe interval of %s", i.ReportTTL, i.Probe),
			"make it at least twice intervals.probe")
	}
	if i.Lease < minLeaseInProbes*i.Probe || i.Lease <= 0 {
		v.add("intervals.lease", fmt.Sprintf("%s is shorter than %d probe intervals of %s", i.Lease, minLeaseInProbes, i.Probe),
			"lengthen it or shorten intervals.probe")
	}
}

func (v *validator) limits(l Limits) {
	if l.MaxBodyBytes < 1 {
		v.add("limits.max_body_bytes", "is below 1", "set the largest request body in bytes")
	}
	if l.MaxHeaderBytes < 1 {
		v.add("limits.max_header_bytes", "is below 1", "set the largest request header in bytes")
	}
	v.positive("limits.request_timeout", l.RequestTimeout)
}

func (v *validator) positive(key string, d time.Duration) {
	if d <= 0 {
		v.add(key, fmt.Sprintf("%s is not above zero", d), `set a duration as "2s"`)
	}
}
