package entry

import (
	"strconv"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
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

// prefixOf returns the beginning of a prompt that other requests may share, from the
// same list as sharedParts and the length of the prompt. It is nil if there is
// none. A part without a valid number of tokens counts as none.
func prefixOf(list string, promptTokens int) *dispatch.Prefix {
	if promptTokens <= 0 || !strings.Contains(list, ",") {
		return nil
	}
	prefix := dispatch.NewPrefix(promptTokens)
	for range maxPrefixEntries {
		entry, rest, more := strings.Cut(list, ",")
		if !more {
			break
		}
		list = rest
		id, length, _ := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(length)
		if err != nil {
			tokens = 0
		}
		if id != "" && !prefix.Add(quarantine.ParsePromptPart(id), tokens) {
			break
		}
	}
	return prefix
}

// maxPrefixEntries is the largest number of entries of a list that are read, since a
// list may consist of entries that don't count. It is above the number of parts
// that a Prefix keeps.
const maxPrefixEntries = 32

// partIDs returns the IDs of parts for a log line.
func partIDs(parts []quarantine.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.String()
	}
	return strings.Join(ids, ",")
}
