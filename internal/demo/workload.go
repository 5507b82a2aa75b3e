package demo

import (
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

const (
	ordersPercent = 10
	workloadMode  = 0o644
)

// workloadTOML is the format of the load tool's settings file.
const workloadTOML = `urls = [%s]
engines = [%s]
services = [%s]

[arrivals]
rate = 10
burst_rate = 40
calm = "4s"
burst = "1s"

[[accounts]]
name = %q
key = %q
share = 1

[chat]
model = %q
max_answer_tokens = 30

[orders]
percent = %d
service = %q
`

// writeWorkload writes a settings file for the load tool, which sends requests to
// the daemons and reads the counts of the stand-ins.
func (r *run) writeWorkload(path string) error {
	var urls, engines, services []string
	for _, d := range r.daemons {
		urls = append(urls, quotedURL(d.address))
	}
	for _, vm := range r.site.document.VMs {
		switch vm.Role {
		case inventory.RoleModel:
			engines = append(engines, quotedURL(vm.Address))
		case inventory.RoleService:
			services = append(services, quotedURL(vm.Address))
		}
	}
	text := fmt.Sprintf(workloadTOML, strings.Join(urls, ", "), strings.Join(engines, ", "), strings.Join(services, ", "),
		AccountName, AccountKey, Model, ordersPercent, Service)
	return errors.Annotate(os.WriteFile(path, []byte(text), workloadMode), "writing the workload")
}

func quotedURL(address string) string { return fmt.Sprintf("%q", "http://"+address) }
