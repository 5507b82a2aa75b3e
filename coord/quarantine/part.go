package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part identifies an input of endpoints: a part of a prompt, or a whole request.
// Prompts that share a part contain the same text there.
type Part uint64

// requestBit is set in the parts that identify requests.
const requestBit Part = 1 << 63

// ParsePart returns the part with the given ID, a hexadecimal number. An ID of
// another form is hashed, so that a part has a bounded size whatever a caller
// sends.
func ParsePart(id string) Part {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		n = xxhash.Sum64String(id)
	}
	return Part(n)
}

// ParsePromptPart returns the part of a prompt with the given ID, which never
// identifies a request.
func ParsePromptPart(id string) Part { return ParsePart(id) &^ requestBit }

// Request is what stays the same when a request comes again.
type Request struct {
	// Account is the client account, or empty.
	Account string
	Method  string
	Host    string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Part returns the part that identifies the request. It is a cryptographic hash, so
// that it says nothing of the content and that no caller can make a request which
// is taken for another one.
func (r *Request) Part() Part {
	h := sha256.New()
	for _, field := range []string{r.Account, r.Method, r.Host, r.Target} {
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	return Part(binary.BigEndian.Uint64(h.Sum(nil))) | requestBit
}

// IsRequest reports whether the part identifies a whole request.
func (p Part) IsRequest() bool { return p&requestBit != 0 }

// String returns the part's ID in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
