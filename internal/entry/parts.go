package entry

import (
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

// sharedParts returns the parts of a prompt that other requests may share: all but
// the last, which belongs to the request alone. list contains comma-separated
// entries, each an ID and a number of tokens separated by a colon.
func sharedParts(list string) []quarantine.Part {
	var parts []quarantine.Part
	for {
		entry, rest, more := strings.Cut(list, ",")
		if !more {
			return parts
		}
		list = rest
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if id != "" {
			parts = append(parts, quarantine.ParsePromptPart(id))
		}
	}
}

// partIDs returns the IDs of parts for a log line.
func partIDs(parts []quarantine.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.String()
	}
	return strings.Join(ids, ",")
}
