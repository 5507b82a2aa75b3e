package review

import (
	"fmt"
	"time"
)

// foreignEntries plays another writer of the table of servers: each of its entries has
// the address of a server of desk, and a service that no config names. Such an entry
// names no server to use, and the others hold.
func foreignEntries(w *world, trouble bool) (broken bool, err error) {
	return w.checkAddedRoutes(trouble, func(desk, _ []*server) error {
		for i, s := range desk {
			row := map[string]any{
				"service": "ledger", "address": s.row["address"], "zone": "z-a", "version": "v1", "slots": 6, "state": "ready",
				"cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
			}
			if err := w.store.Put("servers", fmt.Sprintf("ledger-%d", i+1), row); err != nil {
				return err
			}
			w.logf("another writer writes the entry ledger-%d with the address of %s", i+1, s.id)
		}
		return nil
	})
}
