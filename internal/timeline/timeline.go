// Package timeline merges saved logs of several entry VMs by time, to follow a
// request, an endpoint or a group across them.
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

// Line is a parsed line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	VM      string         `json:"vm"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Keys of a line that aren't kept in Line.Fields.
const (
	timeKey       = "time"
	levelKey      = "level"
	messageKey    = "msg"
	vmKey         = "vm"
	dataCentreKey = "data_centre"
)

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// maxBraces is the maximum number of braces in a line at which its JSON is looked
// for. It bounds the work on lines that are none of ours.
const maxBraces = 64

// Read parses a log. skipped is the number of lines that aren't log lines in JSON.
// Text before the JSON of a line is ignored, as log collectors prepend times and
// names. A line over maxLineBytes is an error.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
	fields := parseObject(raw)
	if fields == nil {
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
	delete(fields, dataCentreKey)
	return Line{Time: at, Level: text(levelKey), VM: text(vmKey), Message: text(messageKey), Fields: fields}, true
}

// parseObject returns the outermost JSON object at the end of a line, or nil if
// there is none.
func parseObject(raw []byte) map[string]any {
	for range maxBraces {
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			return nil
		}
		var fields map[string]any
		if json.Unmarshal(raw[start:], &fields) == nil {
			return fields
		}
		raw = raw[start+1:]
	}
	return nil
}

// Query says which lines to select.
type Query struct {
	// Request, Endpoint and Group select the lines that name any of them.
	Request, Endpoint, Group string
	// Part selects the lines about a part of prompts: the requests with it that
	// broke off, the endpoints that ended and its quarantine. Requests that were
	// refused because of it are left out.
	Part string
	// Context, if not 0, adds the lines about changes of a node's state from this
	// long before the first selected line until this long after the last one.
	Context time.Duration
}

// stateMessages are the messages about changes of a node's state, such as its view
// of VMs and leases, rather than about a request.
var stateMessages = []string{
	"start", "stop", "stopping", "settings reloaded", "configuration in force", "evacuation changed", "lease won", "lease lost",
	"platform read failed", "list of VMs regained", "VM started", "VM no longer listed", "relies on another node", "probe failed",
}

// Select returns the lines that match a query, sorted by time.
func Select(lines []Line, q Query) []Line {
	var out []Line
	for _, l := range lines {
		if q.matches(l) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	if q.Context == 0 || len(out) == 0 {
		return out
	}
	from, to := out[0].Time.Add(-q.Context), out[len(out)-1].Time.Add(q.Context)
	for _, l := range lines {
		if !q.matches(l) && !l.Time.Before(from) && !l.Time.After(to) && l.isStateChange() {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// matches reports whether the line names the request, endpoint or group.
func (q Query) matches(l Line) bool {
	return q.Request != "" && l.Fields["request"] == q.Request ||
		q.Endpoint != "" && (l.Fields["endpoint"] == q.Endpoint || l.hasMember(q.Endpoint)) ||
		q.Group != "" && l.Fields["group"] == q.Group ||
		q.Part != "" && (l.Fields["part"] == q.Part || l.hasPart(q.Part) && l.Message != "request failed")
}

// hasPart reports whether the line is about prompts with the part.
func (l Line) hasPart(part string) bool {
	parts, _ := l.Fields["parts"].(string)
	return slices.Contains(strings.Split(parts, ","), part)
}

// hasMember reports whether the line is about a group with the VM as a member.
func (l Line) hasMember(vm string) bool {
	members, _ := l.Fields["members"].([]any)
	return slices.Contains(members, any(vm))
}

// isStateChange reports whether the line is about a change of a node's state.
func (l Line) isStateChange() bool {
	return slices.Contains(stateMessages, l.Message) || strings.HasPrefix(l.Message, "group ")
}

// Details formats the line's fields as key=value, sorted by key and without empty
// ones. Values other than strings are written as JSON.
func (l Line) Details() string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		value := l.Fields[key]
		if value == nil || value == "" {
			continue
		}
		if _, isString := value.(string); !isString {
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
