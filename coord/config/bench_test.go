package config

import (
	"fmt"
	"testing"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// largeDocument returns a document with 29 data centres and n model VMs.
func largeDocument(n int) inventory.Document {
	doc := inventory.Document{Models: []inventory.Model{{Name: "m", GroupSize: 32, MaxInFlight: 8, ColdInFlight: 1}}}
	for i := range dataCentreCount {
		doc.DataCentres = append(doc.DataCentres, inventory.DataCentre{Name: fmt.Sprintf("d%02d", i)})
	}
	for i := range n {
		doc.VMs = append(doc.VMs, inventory.VM{
			Name: fmt.Sprintf("m%05d", i), DataCentre: fmt.Sprintf("d%02d", i/32%dataCentreCount), FabricDomain: "f",
			Role: inventory.RoleModel, Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
		})
	}
	return Normalize(doc)
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{1600, 5000, 12000} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			doc := largeDocument(n)
			vm := doc.VMs[n/2]
			vm.Out = true
			change := Change{Number: 1, Put: inventory.Document{VMs: []inventory.VM{vm}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(doc, change); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encode(doc))), "snapshot-bytes")
		})
	}
}
