package budget_test

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// A ledger warms an endpoint up and a node dispatches within its share.
func Example() {
	now := time.Unix(0, 0)
	ledger := budget.NewLedger(budget.LedgerOptions{Source: "praha", Term: 1})
	node := budget.NewShares("e1", "boot-1")

	// The messages would travel over the network.
	exchange := func(effects budget.Effects) {
		for _, a := range effects.Announcements {
			if node.ApplyAnnouncement(a) {
				effects.Grants = append(effects.Grants,
					ledger.ApplyUsage(now, node.Report("praha", true)).Grants...)
			}
		}
		for _, g := range effects.Grants {
			node.ApplyGrant(now, g)
		}
		ledger.ApplyUsage(now, node.Report("praha", false))
	}
	exchange(ledger.SetNodes(now, []budget.Node{{Name: "e1", Live: true}}))
	exchange(ledger.SetEndpoint(now, budget.Endpoint{
		Name: "group-1", Incarnation: "boot-7", ColdInFlight: 1, MaxInFlight: 8,
	}))
	fmt.Println("cold:", node.Free("group-1"))

	exchange(ledger.Observe(now, "group-1", "boot-7", 12))
	fmt.Println("after 12 requests:", node.Free("group-1"))

	node.Observe(now, "group-1", "boot-8")
	fmt.Println("after a restart:", node.Free("group-1"))
	// Output:
	// cold: 1
	// after 12 requests: 4
	// after a restart: 1
}
