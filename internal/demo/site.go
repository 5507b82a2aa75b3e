package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
	"github.com/pimentoshore/pimentoshore/internal/standin/table"
)

// Names of what the demo's inventory declares.
const (
	Model       = "assistant"
	Service     = "glove-orders"
	AccountName = "archive"
	AccountKey  = "demo-key-of-the-archive"
)

const (
	region           = "cz"
	groupSize        = 2
	vmsPerDomain     = 3
	accelerators     = 2
	maxInFlight      = 16
	coldInFlight     = 2
	accountInFlight  = 64
	loadTime         = 300 * time.Millisecond
	tokenTime        = 15 * time.Millisecond
	vmListLag        = time.Second
	headerTimeout    = 5 * time.Second
	serviceOrderRoot = "/orders"
)

var fabricDomains = []string{"a", "b"}

// entryVMs are the numbers of entry VMs by data centre.
var entryVMs = []struct {
	dataCentre string
	count      int
}{{"praha", 2}, {"brno", 1}, {"ostrava", 1}}

// site is everything that the demo runs beside the daemons.
type site struct {
	document    inventory.Document
	table       *table.Server
	platformURL string
	engines     map[string]*engine.Engine // by VM
	servers     []*http.Server
	entries     []settings.Settings
}

// newSite starts the stand-ins and plans the daemons' settings.
func newSite() (*site, error) {
	s := &site{table: table.New(table.Options{Lag: vmListLag}), engines: map[string]*engine.Engine{}}
	address, err := s.serve(s.table)
	if err != nil {
		return s, err
	}
	s.platformURL = "http://" + address
	s.rules()
	for _, dc := range entryVMs {
		if err := s.dataCentre(dc.dataCentre, dc.count); err != nil {
			return s, err
		}
	}
	s.introduce()
	s.table.Table().SetVMs(s.vmList())
	return s, nil
}

// close stops the stand-ins.
func (s *site) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// serve starts a stand-in on a free loopback port.
func (s *site) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "starting a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// rules declares the model, the service and the client account.
func (s *site) rules() {
	hash := sha256.Sum256([]byte(AccountKey))
	s.document.Models = []inventory.Model{{
		Name: Model, GroupSize: groupSize, MaxInFlight: maxInFlight, ColdInFlight: coldInFlight,
	}}
	s.document.Services = []inventory.Service{{
		Name: Service, MaxInFlight: maxInFlight, ColdInFlight: coldInFlight,
		Routes: []inventory.Route{{Method: http.MethodPost, Prefix: serviceOrderRoot}},
	}}
	s.document.ClientAccounts = []inventory.ClientAccount{{
		Name: AccountName, KeyHashes: []string{hex.EncodeToString(hash[:])}, MaxInFlight: accountInFlight, Weight: 1,
	}}
}

// dataCentre starts the endpoints of a data centre and plans its daemons.
func (s *site) dataCentre(name string, entries int) error {
	s.document.DataCentres = append(s.document.DataCentres, inventory.DataCentre{Name: name, Region: region})
	for _, domain := range fabricDomains {
		for i := range vmsPerDomain {
			if err := s.engine(name, domain, i+1); err != nil {
				return err
			}
		}
	}
	if err := s.service(name); err != nil {
		return err
	}
	for i := range entries {
		if err := s.entry(name, i+1); err != nil {
			return err
		}
	}
	return nil
}

// engine starts a model VM. Those of the first domain check fencing.
func (s *site) engine(dataCentre, domain string, number int) error {
	vm := inventory.VM{
		Name: fmt.Sprintf("%s-%s-%d", dataCentre, domain, number), DataCentre: dataCentre, FabricDomain: dataCentre + "-" + domain,
		Role: inventory.RoleModel, Accelerators: accelerators, ChecksFencing: domain == fabricDomains[0],
	}
	e := engine.New(engine.Options{
		VM: vm.Name, ChecksFencing: vm.ChecksFencing, LoadTime: loadTime, TokenTime: tokenTime,
		MaxInFlight: maxInFlight, ColdInFlight: coldInFlight,
	})
	s.engines[vm.Name] = e
	return s.endpoint(vm, e)
}

func (s *site) service(dataCentre string) error {
	vm := inventory.VM{Name: dataCentre + "-shop-1", DataCentre: dataCentre, Role: inventory.RoleService, Service: Service}
	return s.endpoint(vm, service.New(service.Options{VM: vm.Name, MaxInFlight: maxInFlight, ColdInFlight: coldInFlight}))
}

// endpoint serves a stand-in and adds its VM to the inventory.
func (s *site) endpoint(vm inventory.VM, handler http.Handler) error {
	address, err := s.serve(handler)
	if err != nil {
		return errors.Annotatef(err, "VM %s", vm.Name)
	}
	vm.Address = address
	s.document.VMs = append(s.document.VMs, vm)
	return nil
}

// entry plans a daemon on free ports.
func (s *site) entry(dataCentre string, number int) error {
	d := settings.Default()
	d.VM = fmt.Sprintf("%s-entry-%d", dataCentre, number)
	d.DataCentre = dataCentre
	d.Platform.URLs = []string{s.platformURL}
	d.Log.Level = "warn"
	for _, address := range []*string{&d.Listen.Callers, &d.Listen.Peers, &d.Listen.Operators} {
		free, err := freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	s.entries = append(s.entries, d)
	s.document.VMs = append(s.document.VMs, inventory.VM{
		Name: d.VM, DataCentre: dataCentre, Role: inventory.RoleEntry, Address: d.Listen.Peers,
	})
	return nil
}

// freeAddress returns a loopback address whose port was free just now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "finding a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// introduce names each daemon to the others.
func (s *site) introduce() {
	for i := range s.entries {
		for j, other := range s.entries {
			if i != j {
				peer := settings.Peer{VM: other.VM, DataCentre: other.DataCentre, Address: other.Listen.Peers}
				s.entries[i].Peers = append(s.entries[i].Peers, peer)
			}
		}
	}
}

func (s *site) vmList() []platform.VMStatus {
	list := make([]platform.VMStatus, 0, len(s.document.VMs))
	for _, vm := range s.document.VMs {
		list = append(list, platform.VMStatus{Name: vm.Name})
	}
	return list
}
