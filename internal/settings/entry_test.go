package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const entryFile = `
vm = "entry-1"
data_centre = "dc-a"
store = "10.0.0.7:8223"
[listen]
callers = "10.0.0.1:8227"
ready = "10.0.0.1:8220"
metrics = "10.0.0.1:9464"
[memory]
limit_mb = 414
[bounds]
keys_valid = "5000ms"
drain_within = "2000ms"
stop_grace = "8s"
group_stall = "5000ms"
repeat_ratio = 0.2
repeat_slack = 136
repeat_window = "10s"
cold_overage = 1.5
cold_slack = 5
load_window = "5s"
`

func loadEntry(t *testing.T, content string) (Entry, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return LoadEntry(file)
}

func TestEntrySettings(t *testing.T) {
	s, err := loadEntry(t, entryFile)
	assert.NilError(t, err)
	assert.Equal(t, s.Bounds.KeysValid, 5*time.Second)
	assert.Equal(t, s.Bounds.RepeatSlack, 136.0, "integers are accepted for fractions")
	assert.Equal(t, s.Log.Format, LogJSON)
	assert.Equal(t, s.Outage.SpreadReads, false, "reads are spread out only where the settings ask for it")
}

// Deployments may omit bounds that their operators do not require.
func TestAbsentBoundsTakeDefaults(t *testing.T) {
	head, _, _ := strings.Cut(entryFile, "[bounds]")
	s, err := loadEntry(t, head)
	assert.NilError(t, err)
	assert.Equal(t, s.Bounds, DefaultEntry().Bounds)
	assert.Equal(t, s.Limits, EntryLimits{StalledWrite: 15 * time.Second})
	assert.Equal(t, s.Planning, EntryPlanning{FollowDemand: FollowAuto})
}

func TestInvalidEntrySettingsNameKey(t *testing.T) {
	for change, want := range map[string]string{
		`store = "10.0.0.7:8223"|store = "store:8223"`: "store",
		`keys_valid = "5000ms"|keys_valid = "0s"`:      "bounds.keys_valid",
		`ready = "10.0.0.1:8220"|ready = "here"`:       "listen.ready",
		`limit_mb = 414|limit_gb = 1`:                  "memory.limit_gb",
		`cold_slack = 5|cold_slack = -5`:               "negative",
		`limit_mb = 414|limit_mb = -1`:                 "memory.limit_mb",
		`[bounds]|[limits]
connections = -1
[bounds]`: "limits.connections",
		`[bounds]|[limits]
open_files = -1
[bounds]`: "limits.open_files",
		`[bounds]|[limits]
stalled_write = "0s"
[bounds]`: "limits.stalled_write",
		`[bounds]|[planning]
follow_demand = "yes"
[bounds]`: "planning.follow_demand",
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := loadEntry(t, strings.Replace(entryFile, from, to, 1))
		assert.ErrorContains(t, err, want)
	}
}

// The settings template that the platform renders must contain only known keys.
func TestTemplateUsesKnownKeys(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	assert.NilError(t, err)
	values := strings.NewReplacer(
		"{{node}}", "entry-1", "{{zone}}", "dc-a", "{{platform.address}}", "10.0.0.7:8223", "{{listen.front}}", "10.0.0.1:8227",
		"{{listen.ready}}", "10.0.0.1:8220", "{{ip}}", "10.0.0.1", "{{port-range.0}}", "7340", "{{limits.memory-mb}}", "414", "{{limits.max-fds}}", "2870", "{{bounds.revoke-ms}}", "5000",
		"{{bounds.drain-ms}}", "2000", "{{bounds.grace-s}}", "8", "{{bounds.stall-ms}}", "5000", "{{bounds.retry-ratio}}", "0.2",
		"{{bounds.retry-slack}}", "136", "{{bounds.retry-window-s}}", "10", "{{bounds.cold-overage}}", "1.5",
		"{{bounds.cold-slack}}", "5", "{{bounds.ceiling-window-s}}", "5",
	)
	tags := regexp.MustCompile(`\{\{[#/][a-z.-]+\}\}`)
	rendered := values.Replace(tags.ReplaceAllString(string(raw), ""))
	assert.Assert(t, !strings.Contains(rendered, "{{"), rendered)
	_, err = loadEntry(t, rendered)
	assert.NilError(t, err)
}
