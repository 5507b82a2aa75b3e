package hostile

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// logTail is how much of a process's log a failed test prints, in bytes.
const logTail = 2000

// binDir is the directory of the built commands. TestMain removes it.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	return m.Run()
}

// buildCommands builds both commands once, without the race detector, which would
// multiply their memory.
var buildCommands = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binDir+"/", "github.com/pimentoshore/pimentoshore/cmd/...").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// command returns the path of a built command.
func command(t *testing.T, name string) string {
	t.Helper()
	assert.NilError(t, buildCommands())
	return filepath.Join(binDir, name)
}

// process is the process under attack.
type process struct {
	pid    int
	exited chan struct{}
	// exitErr is set before exited is closed.
	exitErr error
}

// startDaemon starts pimentoshored with at most openFiles descriptors. It ends with
// the test.
func startDaemon(t *testing.T, openFiles int, args ...string) *process {
	t.Helper()
	logPath := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(logPath)
	assert.NilError(t, err)
	defer log.Close()
	shell := []string{"-c", `ulimit -n "$1" && shift && exec "$0" "$@"`, command(t, "pimentoshored"), strconv.Itoa(openFiles)}
	cmd := exec.Command("sh", append(shell, args...)...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())
	p := &process{pid: cmd.Process.Pid, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		if p.exitErr == nil {
			p.exitErr = errors.New("exit status 0")
		}
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		<-p.exited
		if raw, err := os.ReadFile(logPath); err == nil && t.Failed() {
			t.Logf("end of the process's log:\n%s", raw[max(0, len(raw)-logTail):])
		}
	})
	return p
}

// isAlive reports whether the process has not exited.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// memoryMB returns a value of /proc/PID/status, such as VmHWM, in MB, or 0 if the
// process has exited.
func (p *process) memoryMB(key string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(raw) {
		fields := strings.Fields(string(line))
		if len(fields) > 1 && fields[0] == key+":" {
			kb, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kb / 1024
		}
	}
	return 0
}

// openFiles returns the number of open descriptors, or 0 if the process has exited.
func (p *process) openFiles() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	return len(names)
}

// lastHost is the number of the last loopback host used by freeAddress.
var lastHost atomic.Uint32

// freeAddress returns an address on a loopback host that nothing else uses. A free port
// of 127.0.0.1 could be taken by an outgoing connection before the process listens on
// it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := uint32(os.Getpid())
	address := fmt.Sprintf("127.%d.%d.%d:7000", 1+pid%250, 1+pid/250%250, lastHost.Add(1))
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer l.Close()
	return address
}

// eventually polls a condition and fails the test if it isn't met within a minute.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
