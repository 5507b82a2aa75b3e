package hostile

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// productMemoryMB is the memory of the entry daemon's VM. There is no setting for it. It
// holds the default budgets for request bodies and for buffered responses, of 64 MB
// each, twice over.
const productMemoryMB = 256

const (
	hostileKey  = "hostile-test-key"
	ordinaryKey = "ordinary-test-key"
)

// startProduct starts an entry daemon with a table service, a model engine and a service
// as separate processes.
func startProduct(t *testing.T, openFiles int) *target {
	platform := startStandin(t, "platform")
	engine := startStandin(t, "engine", "--vm", "praha-a-1", "--load", "100ms", "--token", "1ms", "--max-in-flight", "200", "--cold-in-flight", "200")
	shop := startStandin(t, "service", "--vm", "praha-shop-1", "--max-in-flight", "8", "--cold-in-flight", "8")
	callers, peers, operators := freeAddress(t), freeAddress(t), freeAddress(t)
	dir := t.TempDir()
	inventory := fmt.Sprintf(`[[data_centres]]
name = "praha"
[[vms]]
name = "praha-entry-1"
data_centre = "praha"
role = "entry"
address = %q
[[vms]]
name = "praha-a-1"
data_centre = "praha"
fabric_domain = "praha-a"
role = "model"
address = %q
accelerators = 1
[[vms]]
name = "praha-shop-1"
data_centre = "praha"
role = "service"
service = "glove-orders"
address = %q
[[models]]
name = "assistant"
group_size = 1
max_in_flight = 200
cold_in_flight = 200
[[services]]
name = "glove-orders"
max_in_flight = 8
cold_in_flight = 8
[[client_accounts]]
name = "hostile"
key_hashes = [%q]
max_in_flight = 1000
[[client_accounts]]
name = "ordinary"
key_hashes = [%q]
max_in_flight = 16
`, peers, engine, shop, hashKey(t, hostileKey), hashKey(t, ordinaryKey))
	out, err := exec.Command(command(t, "pimentoshore"), "apply", writeFile(t, dir, "inventory.toml", inventory), "--platform", "http://"+platform).CombinedOutput()
	assert.NilError(t, err, string(out))
	text := fmt.Sprintf(`vm = "praha-entry-1"
data_centre = "praha"
[listen]
callers = %q
peers = %q
operators = %q
[platform]
urls = [%q]
[intervals]
lease = "3s"
probe = "200ms"
exchange = "200ms"
[limits]
max_body_bytes = %d
`, callers, peers, operators, "http://"+platform, maxBody)
	header := http.Header{}
	header.Set("Authorization", "Bearer "+hostileKey)
	header.Set("Content-Type", "application/json")
	return &target{
		process: startDaemon(t, openFiles, "--settings", writeFile(t, dir, "daemon.toml", text)), address: callers, host: "h", header: header,
		orderPath: "/services/glove-orders/orders", streamPath: "/v1/chat/completions", answered: "/healthz", wordy: "/metrics",
		streamBody: `{"model":"assistant","stream":true,"max_tokens":32768,"messages":[{"role":"user","content":"which gloves?"}]}`,
		memoryMB:   productMemoryMB,
		newOrdinary: func() (*http.Request, error) {
			body := fmt.Sprintf(`{"order_id":"o-%d","item":"cotton gloves","quantity":3}`, lastID.Add(1))
			req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/services/glove-orders/orders", strings.NewReader(body))
			if err != nil {
				return nil, err
			}
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Authorization", "Bearer "+ordinaryKey)
			return req, nil
		},
	}
}

// startStandin starts a stand-in that ends with the test and returns its address.
func startStandin(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(command(t, "pimentoshore"), append([]string{"standin"}, args...)...)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		_ = cmd.Wait()         // it was killed
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	assert.Assert(t, ok, line)
	return address
}

// hashKey returns the hash by which an inventory names an account's key.
func hashKey(t *testing.T, key string) string {
	t.Helper()
	cmd := exec.Command(command(t, "pimentoshore"), "hash-key")
	cmd.Stdin = strings.NewReader(key + "\n")
	hash, err := cmd.Output()
	assert.NilError(t, err)
	return strings.TrimSpace(string(hash))
}

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against bodies that together exceed the VM's memory and are held as long as
// their connections live.
func TestProductStalledChunkedBodies(t *testing.T) { check(t, stalledChunkedBodies, startProduct) }

// Guards against the same with bodies that arrive in very small pieces.
func TestProductStalledSmallChunks(t *testing.T) { check(t, stalledSmallChunks, startProduct) }

// Guards against memory for the parts of a chunked body that aren't its data.
func TestProductEndlessExtensions(t *testing.T) { check(t, endlessExtensions, startProduct) }

// Guards against memory reserved for an announced length.
func TestProductAnnouncedLargeBodies(t *testing.T) { check(t, announcedLargeBodies, startProduct) }

// Guards against bodies that are held until they turn out to be over the limit.
func TestProductUnannouncedLargeBodies(t *testing.T) { check(t, unannouncedLargeBodies, startProduct) }

// Guards against headers of many small lines, which take many times their size.
func TestProductEndlessHeaders(t *testing.T) { check(t, endlessHeaders, startProduct) }

// Guards against slow bodies that use up the descriptors.
func TestProductSlowBodies(t *testing.T) { check(t, slowBodies, startProduct) }

// Guards against writes to callers that read nothing, which hold two connections each.
func TestProductUnreadStreams(t *testing.T) { check(t, unreadStreams, startProduct) }

// Guards against idle connections that use up the descriptors.
func TestProductSilentConnections(t *testing.T) { check(t, silentConnections, startProduct) }

// Guards against answers that nobody reads, whose connections use up the descriptors.
func TestProductUnreadPipelines(t *testing.T) { check(t, unreadPipelines, startProduct) }

// Guards against stalled bodies on the streams of one HTTP/2 connection, which exceed
// the VM's memory without a second connection.
func TestProductStalledStreams(t *testing.T) { check(t, stalledStreams, startProduct) }
