package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// ownFiles is the number of descriptors that must stay free of connections of callers
	// and to endpoints: half of the 200 that a VM reserves for files.
	ownFiles = 100
	// tries is how often an ordinary caller tries a request, retryPause the time between
	// two tries, and tryTimeout the time after which it gives up on one.
	tries      = 10
	retryPause = 300 * time.Millisecond
	tryTimeout = 2 * time.Second
	// watchTime is how long the process is watched after the ordinary request: what was
	// sent last may not have been read yet.
	watchTime = 2 * time.Second
)

// target is a process under attack and the requests it accepts.
type target struct {
	process *process
	// address is that for callers.
	address string
	host    string
	// header are the headers of the hostile account's requests, in addition to Host.
	header http.Header
	// orderPath is the path for orders, streamPath that for streams.
	orderPath, streamPath string
	// answered is a path that gets an answer without an endpoint, and wordy one that
	// gets an answer of some KB.
	answered, wordy string
	streamBody      string
	// memoryMB is the memory of the VM.
	memoryMB int
	// newOrdinary returns the next request of an ordinary client.
	newOrdinary func() (*http.Request, error)
}

// lastID numbers the requests.
var lastID atomic.Uint64

// head returns a request up to the end of its header.
func (tg *target) head(method, path string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nPimentoshore-Attempt-Id: hostile-%d\r\n", method, path, tg.host, lastID.Add(1))
	_ = tg.header.Write(&b) // writing to a bytes.Buffer does not fail
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// order returns the header of an order, whose body follows.
func (tg *target) order(lines ...string) []byte {
	return tg.head(http.MethodPost, tg.orderPath, lines...)
}

func (tg *target) get(path string) []byte { return tg.head(http.MethodGet, path) }

// stream returns a complete request for a stream.
func (tg *target) stream() []byte {
	return append(tg.head(http.MethodPost, tg.streamPath, fmt.Sprint("Content-Length: ", len(tg.streamBody))), tg.streamBody...)
}

// tryOrdinary sends one ordinary request on a new connection.
func (tg *target) tryOrdinary() error {
	req, err := tg.newOrdinary()
	if err != nil {
		return err
	}
	req.Close = true
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: tryTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(raw)))
	}
	return nil
}

// callOrdinary sends an ordinary request and retries it as clients do.
func (tg *target) callOrdinary() (tried int, err error) {
	for tried = 1; ; tried++ {
		err = tg.tryOrdinary()
		if err == nil || tried == tries || !tg.process.isAlive() {
			return tried, err
		}
		time.Sleep(retryPause)
	}
}

// canStream reports whether a stream of the hostile account begins.
func (tg *target) canStream() bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+tg.address+tg.streamPath, strings.NewReader(tg.streamBody))
	if err != nil {
		return false
	}
	req.Header, req.Host = tg.header.Clone(), tg.host
	req.Header.Set("Pimentoshore-Attempt-Id", fmt.Sprint("first-", lastID.Add(1)))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: tryTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watchFiles records the largest number of open descriptors until stop is called, which
// returns it.
func (p *process) watchFiles() (stop func() int) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, p.openFiles())
			select {
			case <-done:
				result <- most
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

// check attacks a process and checks that it stays alive and within its VM's memory
// and descriptors, and that it answers an ordinary request meanwhile.
func check(t *testing.T, a attack, start func(t *testing.T, openFiles int) *target) {
	t.Helper()
	tg := start(t, a.openFiles)
	eventually(t, "an ordinary answer", func() bool { return tg.tryOrdinary() == nil })
	eventually(t, "a stream", tg.canStream)
	before := tg.process.memoryMB("VmHWM")
	stopWatch := tg.process.watchFiles()
	stop := a.run(tg)
	defer stop()
	tried, err := tg.callOrdinary()
	time.Sleep(watchTime)
	files := stopWatch()
	peak, resident := tg.process.memoryMB("VmHWM"), tg.process.memoryMB("VmRSS")
	alive := tg.process.isAlive()

	fileBound := a.openFiles - ownFiles
	t.Logf("alive %t; peak memory %d MB (%d before the attack, %d at its end), bound %d; descriptors %d of %d, bound %d; ordinary request: %d tries, error: %v",
		alive, peak, before, resident, tg.memoryMB, files, a.openFiles, fileBound, tried, err)
	if !alive {
		<-tg.process.exited
		t.Fatalf("the process exited: %v", tg.process.exitErr)
	}
	assert.Check(t, peak <= tg.memoryMB, "peak memory %d MB of %d", peak, tg.memoryMB)
	assert.Check(t, files <= fileBound, "%d descriptors, bound %d", files, fileBound)
	assert.Check(t, err, "no ordinary answer in %d tries", tried)
}
