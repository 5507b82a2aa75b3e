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

// stopGrace is how long a process may take to end after SIGTERM, and a little
// for a busy machine.
const stopGrace = 8*time.Second + 2*time.Second

// binary is the daemon, built once.
var binary = sync.OnceValues(func() (string, error) {
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

// process is an entry VM's process, which may be started again and again.
type process struct {
	t        *testing.T
	vm       string
	settings string
	callers  string
	ready    string
	logPath  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	status error
	// asked is whether the present process was told to end.
	asked bool
	// struckAt is when a fault was last injected into the process, or ended.
	struckAt time.Time
}

// start starts the process unless it runs.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	path, err := binary()
	assert.NilError(p.t, err)
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	assert.NilError(p.t, err)
	defer out.Close()
	cmd := exec.Command(path, "entry", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(p.t, cmd.Start())
	p.cmd, p.asked, p.struckAt = cmd, false, time.Now()
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		err := cmd.Wait()
		if err == nil {
			err = errors.New("with success")
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.asked {
			p.status = fmt.Errorf("%s ended by itself: %w", p.vm, err)
		}
		p.cmd, p.struckAt = nil, time.Now()
		close(ended)
	}()
}

// signal sends a signal to the process, if it runs. ending says that it may
// end by it.
func (p *process) signal(sig os.Signal, ending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.asked = p.asked || ending
	p.struckAt = time.Now()
	_ = p.cmd.Process.Signal(sig) // it may have ended just now
}

// stop asks the process to end and waits for it.
func (p *process) stop() error {
	p.signal(syscall.SIGCONT, false)
	p.signal(syscall.SIGTERM, true)
	return p.wait(stopGrace)
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL, true)
	_ = p.wait(stopGrace) // a killed process ends
}

func (p *process) wait(d time.Duration) error {
	p.mu.Lock()
	running, ended := p.cmd != nil, p.ended
	p.mu.Unlock()
	if !running {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(d):
		return fmt.Errorf("%s did not end within %s of SIGTERM", p.vm, d)
	}
}

// struckSince reports whether a fault was injected into the process since a
// time, or still lasts.
func (p *process) struckSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil || p.struckAt.After(t)
}

// failure returns why the process ended by itself, if it did.
func (p *process) failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}
