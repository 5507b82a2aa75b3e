package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopGrace is how long a process may take to exit after SIGTERM, plus 2 s for
// a busy machine.
const stopGrace = 8*time.Second + 2*time.Second

// buildDaemon builds the daemon once and returns its path.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "pimentoshored")
	out, err := exec.Command("go", "build", "-o", path, "github.com/pimentoshore/pimentoshore/cmd/pimentoshored").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// process is the process of an entry VM, which can be restarted.
type process struct {
	t             *testing.T
	vm            string
	settings      string
	callerAddress string
	readyAddress  string
	logPath       string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
	// stopRequested is whether the running process was told to exit.
	stopRequested bool
	// starts counts how often the process was started.
	starts int
	// lastFaultAt is when a fault in the process last began or ended.
	lastFaultAt time.Time
}

// start starts the process unless it is running.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	path, err := buildDaemon()
	assert.NilError(p.t, err)
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	assert.NilError(p.t, err)
	defer out.Close()
	cmd := exec.Command(path, "entry", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(p.t, cmd.Start())
	p.starts++
	p.cmd, p.stopRequested, p.lastFaultAt = cmd, false, time.Now()
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		err := cmd.Wait()
		if err == nil {
			err = errors.New("exit status 0")
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopRequested {
			p.exitErr = fmt.Errorf("%s exited unexpectedly: %w", p.vm, err)
		}
		p.cmd, p.lastFaultAt = nil, time.Now()
		close(exited)
	}()
}

// startCount returns how often the process was started.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// signal sends a signal to the process if it is running. mayExit tells whether
// the process may exit because of it.
func (p *process) signal(sig os.Signal, mayExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.stopRequested = p.stopRequested || mayExit
	p.lastFaultAt = time.Now()
	_ = p.cmd.Process.Signal(sig) // the process may have exited meanwhile
}

// stop asks the process to exit and waits for it.
func (p *process) stop() error {
	p.signal(syscall.SIGCONT, false)
	p.signal(syscall.SIGTERM, true)
	return p.wait(stopGrace)
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	_ = p.wait(stopGrace) // SIGKILL always ends a process
}

// wait waits up to d for the process to exit.
func (p *process) wait(d time.Duration) error {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(d):
		return fmt.Errorf("%s did not exit within %s of SIGTERM", p.vm, d)
	}
}

// hadFaultSince reports whether a fault in the process began or ended after t,
// or the process is down.
func (p *process) hadFaultSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil || p.lastFaultAt.After(t)
}

// unexpectedExit returns an error if the process exited without being told to.
func (p *process) unexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}
