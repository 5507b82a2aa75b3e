package group_test

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

type fences struct{ term, sequence uint64 }

func (f *fences) Fence(time.Time) (member.Fence, bool) {
	f.sequence++
	return member.Fence{Term: f.term, Sequence: f.sequence}, true
}

// A manager forms a group of two idle VMs. The embedding program carries out
// the effects and feeds the answers back.
func ExampleManager() {
	now := time.Unix(1000, 0)
	m := group.New(group.Options{DataCentre: "praha"})
	doc := inventory.Document{
		DataCentres: []inventory.DataCentre{{Name: "praha"}},
		Models:      []inventory.Model{{Name: "assistant", GroupSize: 2}},
	}
	for _, name := range []string{"m1", "m2"} {
		doc.VMs = append(doc.VMs, inventory.VM{
			Name: name, DataCentre: "praha", FabricDomain: "f1", Role: inventory.RoleModel,
		})
	}
	m.Step(now, group.Configuration{Number: 1, Document: &doc})
	m.Step(now, group.LeaseGained{Term: 1, Fencer: &fences{term: 1}})
	m.Step(now, group.RowRead{})
	for _, name := range []string{"m1", "m2"} {
		report := member.Report{VM: name, Incarnation: "1", State: member.Idle}
		m.Step(now, group.Reported{Report: report, SentAt: now})
	}
	for _, g := range m.Groups() {
		fmt.Println(g.ID, g.Members)
	}
	// Output: praha/assistant/1 [m1 m2]
}
