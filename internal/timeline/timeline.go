// Package timeline puts saved logs of several entry VMs into one order of time,
// to follow a request, an endpoint or a group through them.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	VM      string         `json:"vm"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Keys that every line has; all others are Fields.
const (
	timeKey    = "time"
	levelKey   = "level"
	messageKey = "msg"
	vmKey      = "vm"
	placeKey   = "data_centre"
)

// maxLine bounds a line's length in bytes.
const maxLine = 1 << 20

// Read returns the lines of a log, and how many hold none. What stands before
// the JSON of a line is passed over, as log collectors put times and names there.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		line, ok := parse(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, s.Err()
}

func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(raw[start:], &fields) != nil {
		return Line{}, false
	}
	text := func(key string) string {
		s, _ := fields[key].(string)
		delete(fields, key)
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, text(timeKey))
	if err != nil {
		return Line{}, false
	}
	delete(fields, placeKey)
	return Line{Time: at, Level: text(levelKey), VM: text(vmKey), Message: text(messageKey), Fields: fields}, true
}

// Query selects lines.
type Query struct {
	// Request, Endpoint and Group select lines that name one of them.
	Request, Endpoint, Group string
	// Context adds what nodes came to believe from so long before the first
	// selected line to so long after the last.
	Context time.Duration
}

// beliefs are the messages about what a node believes rather than about one
// request.
var beliefs = []string{
	"start", "stop", "stopping", "settings reloaded", "configuration in force", "evacuation changed", "lease won", "lease lost",
	"platform read failed", "list of VMs regained", "VM started", "VM no longer listed", "relies on another node", "probe failed",
}

// Select returns the lines that a query asks for, in order of time.
func Select(lines []Line, q Query) []Line {
	var out []Line
	for _, l := range lines {
		if q.names(l) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	if q.Context == 0 || len(out) == 0 {
		return out
	}
	from, to := out[0].Time.Add(-q.Context), out[len(out)-1].Time.Add(q.Context)
	for _, l := range lines {
		if !q.names(l) && !l.Time.Before(from) && !l.Time.After(to) && l.belief() {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

func (q Query) names(l Line) bool {
	return q.Request != "" && l.Fields["request"] == q.Request ||
		q.Endpoint != "" && (l.Fields["endpoint"] == q.Endpoint || l.hasMember(q.Endpoint)) ||
		q.Group != "" && l.Fields["group"] == q.Group
}

func (l Line) hasMember(vm string) bool {
	members, _ := l.Fields["members"].([]any)
	return slices.Contains(members, any(vm))
}

func (l Line) belief() bool {
	return slices.Contains(beliefs, l.Message) || strings.HasPrefix(l.Message, "group ")
}

// Details writes the line's fields as key=value, by key, without the empty ones.
func (l Line) Details() string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		value := l.Fields[key]
		if value == nil || value == "" {
			continue
		}
		if _, plain := value.(string); !plain {
			raw, err := json.Marshal(value)
			if err != nil {
				raw = fmt.Append(nil, value)
			}
			value = string(raw)
		}
		out = append(out, fmt.Sprintf("%s=%v", key, value))
	}
	return strings.Join(out, " ")
}
