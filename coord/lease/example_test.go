package lease_test

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/lease"
)

// A program carries out the effects of Step and passes the answers back as
// events. Here the table is one variable without other writers.
func ExampleMachine() {
	m := lease.New(lease.Options{DataCentre: "praha", VM: "e1", Incarnation: "e1.1"})
	now := time.Unix(0, 0)
	var row *lease.Row
	var revision uint64
	queue := []lease.Event{lease.Tick{}}
	for len(queue) > 0 {
		ev := queue[0]
		queue = queue[1:]
		for _, e := range m.Step(now, ev) {
			switch e := e.(type) {
			case lease.ReadRows:
				queue = append(queue, lease.RowsRead{Read: e.ID, Row: row, Revision: revision})
			case lease.WriteRow:
				row, revision = &e.Row, revision+1
				queue = append(queue, lease.WriteAnswered{Token: e.Row.Token, Outcome: lease.Applied, Revision: revision})
			case lease.BecameHolder:
				fmt.Println("holder of term", e.Grant.Term)
			}
		}
	}
	fence, ok := m.NextFence(now)
	fmt.Println(fence.Term, fence.Sequence, ok)
	// Output:
	// holder of term 1
	// 1 1 true
}
