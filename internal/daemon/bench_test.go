package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
)

const benchBody = `{"model":"gloves","prompt":"which gloves for vellum?","max_tokens":1}`

// BenchmarkCompletion compares completions sent directly to an engine with
// completions through an entry VM, in series and in parallel.
func BenchmarkCompletion(b *testing.B) {
	direct := benchEngine(b)
	through := benchNode(b)
	for _, bc := range []struct{ name, url string }{{"direct", direct}, {"through", through}} {
		b.Run(bc.name+"/serial", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchCall(b, bc.url)
			}
		})
		b.Run(bc.name+"/parallel", func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					benchCall(b, bc.url)
				}
			})
		})
	}
}

// benchEngine starts a standalone engine, which serves without a group.
func benchEngine(b *testing.B) string {
	c := &cluster{t: b}
	return "http://" + c.serve(engine.New(engine.Options{VM: "direct", Standalone: true})) + "/v1/completions"
}

// benchNode starts a data centre whose limits are high enough not to restrict
// the benchmark.
func benchNode(b *testing.B) string {
	c := newCluster(b)
	c.tokenTime = 0
	c.addDataCentre("praha")
	c.doc.Models[0].ColdInFlight, c.doc.Models[0].MaxInFlight = 1024, 1024
	c.doc.ClientAccounts[0].MaxInFlight = 1024
	c.addNode("praha", "praha-e0")
	c.startAll()
	c.apply()
	eventually(b, "a completion", func() bool { return c.canServe("praha-e0") })
	return "http://" + c.nodes["praha-e0"].callers + "/v1/completions"
}

var benchClient = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	Timeout:   10 * time.Second,
}

func benchCall(b *testing.B, url string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(benchBody))
	assert.NilError(b, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := benchClient.Do(req)
	assert.NilError(b, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(b, err)
	assert.Equal(b, resp.StatusCode, http.StatusOK, fmt.Sprint(resp.Header))
}
