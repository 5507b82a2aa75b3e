package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// lastRecord is a Recorder that keeps the latest record.
type lastRecord struct{ Record }

// Put implements Recorder.
func (r *lastRecord) Put(rec Record) { r.Record = rec }

// Guards against names of models and services that make a record or a response as
// large as a body: a thousand records of 8 MB each ended the process.
func TestLongNamesAreNotKept(t *testing.T) {
	for name, tc := range map[string]struct {
		path, body string
		status     int
	}{
		"model":   {"/v1/completions", `{"model":"` + strings.Repeat("m", 1000) + `"}`, http.StatusNotFound},
		"longer":  {"/v1/completions", `{"model":"` + strings.Repeat("m", 2000) + `"}`, http.StatusBadRequest},
		"service": {"/services/" + strings.Repeat("s", 60<<10), "", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(&fakeBackend{}, io.Discard)
			server.maxBody = 1 << 20
			rec := &lastRecord{}
			server.recorder = rec
			w := do(server, http.MethodPost, tc.path, tc.body)
			assert.Equal(t, w.Code, tc.status, w.Body)
			assert.Assert(t, len(rec.Target) <= maxRecordedName)
			assert.Assert(t, w.Body.Len() < 4<<10)
		})
	}
}

// Guards against a copy of the prompt, which doesn't count as memory of the body, and
// against hashes that depend on the part of the prompt that is kept.
func TestOnlyTheStartOfAPromptIsKept(t *testing.T) {
	for _, field := range []string{"prompt", "messages"} {
		prompt, err := json.Marshal(strings.Repeat("cotton gloves ", 100_000))
		assert.NilError(t, err)
		body := []byte(`{"model":"m","` + field + `": ` + string(prompt) + `}`)
		head, p := parseCompletion(body)
		assert.Assert(t, p == nil)
		assert.Equal(t, len(head.Prompt)+len(head.Messages), maxPrefixBlocks*prefixBlockBytes)
		hashes := head.prefixHashes()
		assert.Equal(t, len(hashes), maxPrefixBlocks)
		for i, hash := range hashes {
			assert.Equal(t, hash, xxhash.Sum64(prompt[:(i+1)*prefixBlockBytes]))
		}
		assert.Assert(t, !bytes.Contains(head.Prompt, []byte("model")))
	}
}
