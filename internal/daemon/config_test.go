package daemon

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// A change that can't be read stopped the nodes for good, although a newer snapshot
// was there.
func TestOddChangeIsPassedOverByANewerSnapshot(t *testing.T) {
	c := newCluster(t, "praha")
	c.addNode("praha", "praha-e0")
	c.apply()
	c.startAll()
	n := c.nodes["praha-e0"]
	number := func() (out uint64) {
		n.locked(func(time.Time) { out = n.config.Number() })
		return out
	}
	eventually(t, "the first configuration", func() bool { return number() > 0 })

	next := number() + 2
	var txn platform.Txn
	put := func(key string, value any) {
		raw, ok := value.([]byte)
		if !ok {
			var err error
			raw, err = json.Marshal(value)
			assert.NilError(t, err)
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: raw})
	}
	put(config.ChangeKey(next-1), []byte(`{"number":-1,"put":[`))
	put(config.ChangeKey(next), config.Change{Number: next, Token: "t", Previous: "odd"})
	put(config.SnapshotKey(next), config.Snapshot{Number: next, Token: "t", Document: config.Normalize(c.doc)})
	put(config.HeadKey, config.Head{Number: next, Token: "t", Snapshot: next})
	_, err := c.table.Commit(t.Context(), txn)
	assert.NilError(t, err)
	eventually(t, "the configuration of the snapshot", func() bool { return number() == next })
}
