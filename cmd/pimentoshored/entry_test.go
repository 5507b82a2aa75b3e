package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func TestCheckOfEntrySettings(t *testing.T) {
	const valid = "vm = \"a\"\ndata_centre = \"d\"\nstore = \"10.0.0.7:1\"\n[listen]\ncallers = \"10.0.0.1:2\"\nready = \"10.0.0.1:3\"\n"
	for content, ok := range map[string]bool{valid: true, "vm = 7\n": false} {
		file := filepath.Join(t.TempDir(), "settings.toml")
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		cmd := rootCommand()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"entry", "--check", "--settings", file})
		err := cmd.Execute()
		if ok {
			assert.NilError(t, err)
			assert.Assert(t, bytes.Contains(out.Bytes(), []byte("is valid")), out.String())
			continue
		}
		var faults *settings.Error
		assert.Assert(t, errors.As(err, &faults), "%v", err)
	}
}

// freeAddresses returns n different free loopback addresses. It holds every
// listener until all addresses are chosen.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func TestFreeAddressesDiffer(t *testing.T) {
	free := freeAddresses(t, 500)
	slices.Sort(free)
	assert.Equal(t, len(slices.Compact(free)), 500)
}

// SIGHUP, sent when the settings file has changed, once ended the process.
func TestHangupKeepsDaemonServing(t *testing.T) {
	free := freeAddresses(t, 2)
	callers, ready := free[0], free[1]
	file := filepath.Join(t.TempDir(), "settings.toml")
	content := fmt.Sprintf("vm = \"a\"\ndata_centre = \"d\"\nstore = \"127.0.0.1:1\"\n[listen]\ncallers = %q\nready = %q\n", callers, ready)
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	set, err := settings.LoadEntry(file)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- serveEntry(ctx, file, set) }()
	readyPageAnswers := func() bool {
		resp, err := http.Get("http://" + ready + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}
	for range 500 {
		if readyPageAnswers() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // give the signal time to arrive
	assert.Assert(t, readyPageAnswers())
	cancel()
	assert.NilError(t, <-done)
}
