package cloud

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// storedRow returns the row of a VM in the store.
func storedRow(t *testing.T, s *Store, id string) map[string]any {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var row map[string]any
	assert.NilError(t, json.Unmarshal(s.rows["servers/"+id].Value, &row))
	return row
}

// member is a VM whose row changes.
type member interface {
	Advertise(address string) error
	Restart() error
}

// Changes of a VM's row at the same time are all kept.
func TestConcurrentAdvertiseAndRestart(t *testing.T) {
	store := NewStore()
	t.Cleanup(store.Server.Close)
	engine, err := NewEngine(store, "i-1", "llm", "dc", "d")
	assert.NilError(t, err)
	t.Cleanup(engine.Server.Close)
	plain, err := NewPlainService(store, "s-1", "shop", "dc")
	assert.NilError(t, err)
	t.Cleanup(plain.Server.Close)
	for id, vm := range map[string]member{"i-1": engine, "s-1": plain} {
		for i := range 200 {
			address := fmt.Sprint("a:", i)
			var both sync.WaitGroup
			both.Go(func() { assert.Check(t, vm.Advertise(address)) })
			both.Go(func() { assert.Check(t, vm.Restart()) })
			both.Wait()
			assert.Equal(t, storedRow(t, store, id)["address"], address, "%s, round %d", id, i)
		}
	}
}

// The row in the store is a consistent copy of the engine's state, also while its
// group changes.
func TestRowIsWrittenWhileGroupChanges(t *testing.T) {
	store := NewStore()
	t.Cleanup(store.Server.Close)
	e, err := NewEngine(store, "i-1", "llm", "dc", "d")
	assert.NilError(t, err)
	t.Cleanup(e.Server.Close)
	e.mu.Lock()
	e.execute(order{Op: "join", Group: "g", Epoch: 1, Members: []string{"i-1"}})
	e.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() {
		for range 1000 {
			e.mu.Lock()
			e.execute(order{Op: "close", Group: "g", Epoch: 1})
			e.mu.Unlock()
		}
	})
	both.Go(func() {
		for range 1000 {
			assert.Check(t, e.writeRow())
		}
	})
	both.Wait()
}
