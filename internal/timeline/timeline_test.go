package timeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const logA = `{"time":"2026-06-12T11:35:10.2Z","level":"INFO","msg":"stream goes on elsewhere","vm":"e-a","data_centre":"a","request":"r1","sends":1}
{"time":"2026-06-12T11:35:09.1Z","level":"INFO","msg":"lease won","vm":"e-a","data_centre":"a","term":2}
panic: not a line of ours
{"time":"2026-06-12T11:35:10.1Z","level":"INFO","msg":"attempt broke off","vm":"e-a","data_centre":"a","request":"r1","endpoint":"i-1","error":""}
{"time":"2026-06-12T11:35:30Z","level":"INFO","msg":"stop","vm":"e-a","data_centre":"a","error":null}
`

const logB = `  1.0 e-b {"time":"2026-06-12T11:35:09.9Z","level":"INFO","msg":"group dissolving","vm":"e-b","group":"g1","members":["i-1","i-2"],"lost":"i-2"}
  1.1 e-b {"time":"2026-06-12T11:35:10.3Z","level":"WARN","msg":"request failed","vm":"e-b","request":"r2"}
`

func readLogs(t *testing.T) []Line {
	t.Helper()
	a, skipped, err := Read(strings.NewReader(logA))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	b, skipped, err := Read(strings.NewReader(logB))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	return append(a, b...)
}

func TestTextBeforeTheJSONMayHaveBraces(t *testing.T) {
	const line = `{"time":"2026-06-12T11:35:10.2Z","level":"INFO","msg":"VMs","vm":"e-a","use":{"m":{"time":"2020-01-01T00:00:00Z"}}}`
	for _, prefix := range []string{"", "{app} ", `{"source":"e-a"} `, "{{{ ", "{", `{"a":`, strings.Repeat("{", maxBraces-1)} {
		lines, skipped, err := Read(strings.NewReader(prefix + line + "\n"))
		assert.NilError(t, err)
		assert.Equal(t, skipped, 0, prefix)
		assert.Equal(t, lines[0].Message, "VMs", prefix)
	}
	// An object inside of another one is no log line.
	_, skipped, err := Read(strings.NewReader(`{"x":` + line + "}\n"))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
}

func TestSelect(t *testing.T) {
	for _, test := range []struct {
		q    Query
		want string
	}{
		{Query{Request: "r1"}, "attempt broke off, stream goes on elsewhere"},
		{Query{Request: "r1", Context: 2 * time.Second}, "lease won, group dissolving, attempt broke off, stream goes on elsewhere"},
		{Query{Endpoint: "i-1"}, "group dissolving, attempt broke off"},
		{Query{Group: "g1"}, "group dissolving"},
		{Query{Request: "r9", Context: time.Hour}, ""},
	} {
		var got []string
		for _, l := range Select(readLogs(t), test.q) {
			got = append(got, l.Message)
		}
		assert.Equal(t, strings.Join(got, ", "), test.want)
	}
}

func TestDetails(t *testing.T) {
	lines := Select(readLogs(t), Query{Endpoint: "i-1"})
	assert.Equal(t, lines[0].VM, "e-b")
	assert.Equal(t, lines[0].Details(), `group=g1 lost=i-2 members=["i-1","i-2"]`)
	assert.Equal(t, lines[1].Details(), "endpoint=i-1 request=r1")
}

func FuzzRead(f *testing.F) {
	f.Add(logA)
	f.Add(logB)
	f.Add("{\"time\":5}\n{}\n{")
	f.Fuzz(func(_ *testing.T, log string) {
		lines, _, err := Read(strings.NewReader(log))
		if err != nil {
			return
		}
		for _, l := range Select(lines, Query{Request: "r1", Context: time.Minute}) {
			_ = l.Details()
		}
	})
}

func TestSelectPart(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:01Z","msg":"attempt broke off","request":"r1","parts":"f1,dead"}
{"time":"2026-01-01T00:00:02Z","msg":"endpoint ended under requests","endpoint":"i-1","parts":"dead,f1"}
{"time":"2026-01-01T00:00:03Z","msg":"input quarantined","part":"dead"}
{"time":"2026-01-01T00:00:04Z","msg":"request failed","request":"r2","parts":"f1,dead"}
{"time":"2026-01-01T00:00:05Z","msg":"attempt broke off","request":"r3","parts":"f1,deadbeef"}
`
	lines, _, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	var got []string
	for _, l := range Select(lines, Query{Part: "dead"}) {
		got = append(got, l.Message)
	}
	assert.Equal(t, strings.Join(got, ", "), "attempt broke off, endpoint ended under requests, input quarantined")
}
