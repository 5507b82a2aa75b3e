package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSettings = `
vm = "praha-entry-1"
data_centre = "praha"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
[platform]
urls = ["http://127.0.0.1:9000"]
[[peers]]
vm = "brno-entry-1"
data_centre = "brno"
address = "127.0.0.1:7100"
[intervals]
lease = "9s"
`

func TestLoadKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.toml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, s.Intervals.Lease, 9*time.Second)
	assert.Equal(t, s.Intervals.Probe, Default().Intervals.Probe)
	assert.Equal(t, s.Peers[0].Address, "127.0.0.1:7100")
}

// Guards against settings files of earlier versions that become invalid or lose the
// limits of callers' connections and memory.
func TestAbsentLimitsTakeDefaults(t *testing.T) {
	s, err := Parse("daemon.toml", []byte(validSettings+"[limits]\nmax_body_bytes = 1073741824\n"))
	assert.NilError(t, err)
	want := Default().Limits
	want.MaxBodyBytes = 1 << 30
	assert.Equal(t, s.Limits, want)
	assert.Equal(t, want.RequestMemoryMB, int64(64))
	assert.Equal(t, want.IdleTimeout, 2*time.Minute)
	assert.Equal(t, want.HeaderTimeout, 10*time.Second)
	assert.Equal(t, want.StalledWrite, 15*time.Second)
}

func settingsError(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

func TestParseNamesFaultyKey(t *testing.T) {
	tests := []struct{ name, from, to, key string }{
		{"unknown key", `vm = "praha-entry-1"`, "vm = \"a\"\nvms = \"b\"", "vms"},
		{"unknown nested key", `[platform]`, "[platform]\nurl = \"x\"", "platform.url"},
		{"no unit", `lease = "9s"`, `lease = 9`, "intervals.lease"},
		{"bad unit", `lease = "9s"`, `lease = "9 seconds"`, "intervals.lease"},
		{"short lease", `lease = "9s"`, `lease = "1s"`, "intervals.lease"},
		{"negative", `lease = "9s"`, "lease = \"9s\"\nexchange = \"-1s\"", "intervals.exchange"},
		{"wrong type", `vm = "praha-entry-1"`, `vm = 3`, "vm"},
		{"table expected", "[platform]\nurls = [\"http://127.0.0.1:9000\"]", "[platform]\nurls = 3", "platform.urls"},
		{"shared address", "127.0.0.1:7001", "127.0.0.1:7000", "listen.operators"},
		{"host name", "127.0.0.1:7100", "brno:7100", "peers[0].address"},
		{"not a URL", "http://127.0.0.1:9000", "127.0.0.1:9000", "platform.urls[0]"},
		{"no request memory", "[intervals]", "[limits]\nrequest_memory_mb = 0\n[intervals]", "limits.request_memory_mb"},
		{"request memory overflows", "[intervals]", "[limits]\nrequest_memory_mb = 9223372036854775807\n[intervals]", "limits.request_memory_mb"},
		{"negative connections", "[intervals]", "[limits]\nconnections = -1\n[intervals]", "limits.connections"},
		{"few descriptors", "[intervals]", "[limits]\nopen_files = 200\n[intervals]", "limits.open_files"},
		{"no idle timeout", "[intervals]", "[limits]\nidle_timeout = \"0s\"\n[intervals]", "limits.idle_timeout"},
		{"no header timeout", "[intervals]", "[limits]\nheader_timeout = \"0s\"\n[intervals]", "limits.header_timeout"},
		{"negative stalled write", "[intervals]", "[limits]\nstalled_write = \"-1s\"\n[intervals]", "limits.stalled_write"},
		{"half of TLS", "[intervals]", "[tls]\nca = \"ca.pem\"\ncert = \"cert.pem\"\n[intervals]", "tls.key"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("daemon.toml", []byte(strings.Replace(validSettings, tc.from, tc.to, 1)))
			e := settingsError(t, err)
			assert.Equal(t, e.Faults[0].Key, tc.key)
			assert.Equal(t, len(e.Faults), 1, "%v", err)
			assert.Assert(t, e.Faults[0].Remedy != "")
			assert.Assert(t, strings.HasPrefix(err.Error(), "daemon.toml: "+tc.key+": "))
		})
	}
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	_, err := Parse("f", []byte("vm = 1\nspare = 2\n[intervals]\nprobe = 3\n[log]\nformat = \"xml\"\n"))
	var keys []string
	for _, f := range settingsError(t, err).Faults {
		keys = append(keys, f.Key)
	}
	for _, want := range []string{"vm", "spare", "intervals.probe", "log.format", "listen.callers", "platform.urls", "data_centre"} {
		assert.Assert(t, strings.Contains(strings.Join(keys, " "), want), "%s is not in %v", want, keys)
	}
}

func TestParseReportsSyntaxErrorWithLine(t *testing.T) {
	for _, text := range []string{"vm = \"a\"\nvm = \"b\"\n", "vm = \"a\"\nlisten = = 1\n"} {
		e := settingsError(t, func() error { _, err := Parse("f", []byte(text)); return err }())
		assert.Equal(t, len(e.Faults), 1)
		assert.Assert(t, strings.HasPrefix(e.Faults[0].Key, "line 2"), e.Faults[0].Key)
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

const validInventory = `
[[data_centres]]
name = "praha"
region = "cz"
[[vms]]
name = "m1"
data_centre = "praha"
fabric_domain = "f1"
role = "model"
address = "127.0.0.1:9001"
[[models]]
name = "m"
group_size = 1
max_in_flight = 8
cold_in_flight = 1
[[client_accounts]]
name = "archive"
key_hashes = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
max_in_flight = 4
`

func TestParseInventory(t *testing.T) {
	doc, err := ParseInventory("i", []byte(validInventory))
	assert.NilError(t, err)
	assert.Equal(t, doc.VMs[0].FabricDomain, "f1")

	broken := strings.Replace(validInventory, "group_size = 1", "group_size = \"one\"\nsize = 1", 1)
	broken = strings.Replace(broken, `role = "model"`, `role = "modell"`, 1)
	_, err = ParseInventory("i", []byte(broken))
	var keys []string
	for _, f := range settingsError(t, err).Faults {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{"models[0].group_size", "models[0].size", "vms[0].role"})
}

func FuzzLoadSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[intervals]\nprobe = 1e400\n"))
	f.Add([]byte("peers = [1, {vm = 2}]\nlisten = []\nvm = 1979-05-27\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil {
			assert.Equal(t, len(s.Validate()), 0)
			return
		}
		checkFaultsComplete(t, err)
	})
}

func FuzzLoadInventory(f *testing.F) {
	f.Add([]byte(validInventory))
	f.Add([]byte("vms = [[{}]]\nmodels = nan\n"))
	f.Add([]byte("[[models]]\ngroup_size = 9223372036854775807\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseInventory("f", data)
		if err == nil {
			assert.Equal(t, len(doc.Validate()), 0)
			return
		}
		checkFaultsComplete(t, err)
	})
}

func checkFaultsComplete(t *testing.T, err error) {
	t.Helper()
	e := settingsError(t, err)
	assert.Assert(t, len(e.Faults) > 0)
	for _, fault := range e.Faults {
		assert.Assert(t, fault.Key != "" && fault.Problem != "" && fault.Remedy != "", "%+v", fault)
	}
}
