package main

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

const faultsPath = "/faults"

// setFaults replaces the injected faults of a stand-in.
func (s *system) setFaults(address, body string) {
	s.t.Helper()
	resp, err := http.Post("http://"+address+faultsPath, "application/json", strings.NewReader(body))
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	assert.Assert(s.t, resp.StatusCode < http.StatusBadRequest, resp.Status)
}

// countOrders returns the number of orders that the engines have received.
func (s *system) countOrders() (n uint64) {
	for _, address := range s.engines {
		var counts engine.Counts
		getJSON(s.t, "http://"+address+engine.CountsPath, &counts)
		n += counts.Orders
	}
	return n
}

func (s *system) status(name string) operator.Status {
	var status operator.Status
	getJSON(s.t, "http://"+s.daemons[name].operatorsAddress+operator.StatusPath, &status)
	return status
}

// coordinator returns the coordinator of a data centre according to the status
// of a daemon, or "" if that lists no such data centre.
func (s *system) coordinator(name, dataCentre string) string {
	for _, dc := range s.status(name).DataCentres {
		if dc.Name == dataCentre {
			return dc.Coordinator
		}
	}
	return ""
}

func (s *system) signal(name string, sig syscall.Signal) {
	assert.NilError(s.t, s.daemons[name].cmd.Process.Signal(sig))
}

// daemonName returns the name of the daemon on a VM.
func (s *system) daemonName(vm string) string {
	for name, d := range s.daemons {
		if d.vm == vm {
			return name
		}
	}
	return ""
}

// TestKilledEntryVM kills the only daemon of a data centre and restarts it. The
// group must stay unchanged, without any order to an engine.
func TestKilledEntryVM(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.waitForGroups()
	s.checkChat("praha")
	before := s.countOrders()
	s.signal("praha", syscall.SIGKILL)
	for range 5 {
		s.checkChat("brno")
	}
	s.startDaemon("praha")
	s.waitForGroups()
	s.checkChat("praha")
	assert.Equal(t, s.countOrders(), before)
}

// TestPausedCoordinator suspends the coordinator's process for longer than its
// lease. Another candidate must take over, and the group must stay unchanged.
func TestPausedCoordinator(t *testing.T) {
	t.Parallel()
	s := startSystem(t, entryDaemon{vm: "praha-entry-2", dataCentre: "praha"})
	s.waitForGroups()
	before := s.countOrders()
	holder := s.daemonName(s.coordinator("praha", "praha"))
	other := map[string]string{"praha": "praha-entry-2", "praha-entry-2": "praha"}[holder]
	s.signal(holder, syscall.SIGSTOP)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.daemonName(s.coordinator(other, "praha")) != other {
			return poll.Continue("%s is not the coordinator", other)
		}
		return poll.Success()
	}, poll.WithTimeout(5*leaseDuration), poll.WithDelay(100*time.Millisecond))
	s.checkChat(other)
	s.signal(holder, syscall.SIGCONT)
	time.Sleep(leaseDuration)
	assert.Equal(t, s.daemonName(s.coordinator(holder, "praha")), other)
	s.checkChat(holder)
	assert.Equal(t, s.countOrders(), before)
}

// TestPlatformDownAndSlow checks that daemons keep serving while the platform's
// table is down or slow.
func TestPlatformDownAndSlow(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.waitForGroups()
	for _, faults := range []string{`{"down":true}`, `{"slow_ms":1000}`} {
		s.setFaults(s.platform, faults)
		for start := time.Now(); time.Since(start) < 2*leaseDuration; time.Sleep(leaseDuration / 6) {
			s.checkChat("praha")
			s.checkChat("brno")
		}
		s.setFaults(s.platform, `{}`)
	}
	s.checkOrderRunsOnce()
}

// TestLostAnswerOfApply drops the answers of writes that took effect. The drain
// must succeed and add exactly one change to the history.
func TestLostAnswerOfApply(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.waitForGroups()
	s.setFaults(s.platform, `{"lose_answers":2}`)
	code, out := s.run("drain", "vm", "praha-a-1", "--platform", "http://"+s.platform)
	assert.Equal(t, code, 0, out)
	code, out = s.run("history", "--platform", "http://"+s.platform, "--output", "json")
	assert.Equal(t, code, 0, out)
	var changes []json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(out), &changes), out)
	assert.Equal(t, len(changes), 2, out)
}

// TestRacingOperators has two operators apply changes to the same configuration
// at once. One must succeed and the other must get a conflict.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	inventory := s.inventory()
	files := []string{
		s.write("a.toml", strings.Replace(inventory, "max_in_flight = 16", "max_in_flight = 17", 1)),
		s.write("b.toml", strings.Replace(inventory, "max_in_flight = 16", "max_in_flight = 18", 1)),
	}
	codes := make([]int, len(files))
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() {
			codes[i], _ = s.run("apply", filepath.Clean(file), "--expect", "1", "--platform", "http://"+s.platform)
		})
	}
	wg.Wait()
	assert.Assert(t, codes[0]+codes[1] == 3 && codes[0]*codes[1] == 0, "exit codes %v", codes)
}

// TestClaimantKilledWhileOrderRuns kills the daemon that has claimed an order
// while the order runs. A retry with the same key must not run it again.
func TestClaimantKilledWhileOrderRuns(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.waitForGroups()
	s.setFaults(s.shop, `{"answer_late_ms":3000}`)
	const body = `{"order_id":"o1","item":"cotton gloves","quantity":3}`
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.daemons["praha"].callers+"/services/glove-orders/orders", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+accountKey)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set(service.HeaderIdempotencyKey, "key-1")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	var runs service.Runs
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		getJSON(t, "http://"+s.shop+service.RunsPath, &runs)
		if runs.Total != 1 {
			return poll.Continue("%d runs", runs.Total)
		}
		return poll.Success()
	}, poll.WithTimeout(callTimeout), poll.WithDelay(20*time.Millisecond))
	s.signal("praha", syscall.SIGKILL)
	s.startDaemon("praha")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp := s.callOnce("brno", "/services/glove-orders/orders", accountKey, "key-1", body)
		if resp.status != http.StatusConflict {
			return poll.Continue("status %d: %s", resp.status, resp.body)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(200*time.Millisecond))
	getJSON(t, "http://"+s.shop+service.RunsPath, &runs)
	assert.Equal(t, runs.Total, 1)
	assert.Equal(t, runs.Doubles, 0)
}
