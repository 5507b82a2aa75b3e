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

// Names and the key that the demo's inventory declares.
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

// entryVMs lists the number of entry VMs of each data centre.
var entryVMs = []struct {
	dataCentre string
	count      int
}{{"praha", 2}, {"brno", 1}, {"ostrava", 1}}

// site holds the running stand-ins, the inventory and the daemons' settings.
type site struct {
	document    inventory.Document
	table       *table.Server
	platformURL string
	engines     map[string]*engine.Engine // by VM
	servers     []*http.Server
	entries     []settings.Settings
	// reserved holds, by entry VM, the listeners that keep its addresses from all
	// others until its daemon starts.
	reserved map[string][]net.Listener
}

// newSite starts the stand-ins and prepares the daemons' settings. On an error it
// still returns the site, so that the caller can close it.
func newSite() (*site, error) {
	s := &site{
		table: table.New(table.Options{Lag: vmListLag}), engines: map[string]*engine.Engine{}, reserved: map[string][]net.Listener{},
	}
	address, err := s.serve(s.table)
	if err != nil {
		return s, err
	}
	s.platformURL = "http://" + address
	s.declareRules()
	for _, dc := range entryVMs {
		if err := s.addDataCentre(dc.dataCentre, dc.count); err != nil {
			return s, err
		}
	}
	s.addPeers()
	s.table.Table().SetVMs(s.vmList())
	return s, nil
}

// close stops the stand-ins and frees the reserved addresses.
func (s *site) close() {
	for vm := range s.reserved {
		s.release(vm)
	}
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

// declareRules declares the model, the service and the client account.
func (s *site) declareRules() {
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

// addDataCentre starts the endpoints of a data centre and prepares the settings of
// its daemons.
func (s *site) addDataCentre(name string, entries int) error {
	s.document.DataCentres = append(s.document.DataCentres, inventory.DataCentre{Name: name, Region: region})
	for _, domain := range fabricDomains {
		for i := range vmsPerDomain {
			if err := s.addEngine(name, domain, i+1); err != nil {
				return err
			}
		}
	}
	if err := s.addService(name); err != nil {
		return err
	}
	for i := range entries {
		if err := s.addEntry(name, i+1); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts the engine of a model VM. Engines of the first fabric domain
// check fencing.
func (s *site) addEngine(dataCentre, domain string, number int) error {
	vm := inventory.VM{
		Name: fmt.Sprintf("%s-%s-%d", dataCentre, domain, number), DataCentre: dataCentre, FabricDomain: dataCentre + "-" + domain,
		Role: inventory.RoleModel, Accelerators: accelerators, ChecksFencing: domain == fabricDomains[0],
	}
	e := engine.New(engine.Options{
		VM: vm.Name, ChecksFencing: vm.ChecksFencing, LoadTime: loadTime, TokenTime: tokenTime,
		MaxInFlight: maxInFlight, ColdInFlight: coldInFlight,
	})
	s.engines[vm.Name] = e
	return s.addEndpoint(vm, e)
}

func (s *site) addService(dataCentre string) error {
	vm := inventory.VM{Name: dataCentre + "-shop-1", DataCentre: dataCentre, Role: inventory.RoleService, Service: Service}
	return s.addEndpoint(vm, service.New(service.Options{VM: vm.Name, MaxInFlight: maxInFlight, ColdInFlight: coldInFlight}))
}

// addEndpoint starts a stand-in and adds its VM to the inventory.
func (s *site) addEndpoint(vm inventory.VM, handler http.Handler) error {
	address, err := s.serve(handler)
	if err != nil {
		return errors.Annotatef(err, "VM %s", vm.Name)
	}
	vm.Address = address
	s.document.VMs = append(s.document.VMs, vm)
	return nil
}

// addEntry prepares the settings of a daemon on free ports and adds its VM to the
// inventory.
func (s *site) addEntry(dataCentre string, number int) error {
	d := settings.Default()
	d.VM = fmt.Sprintf("%s-entry-%d", dataCentre, number)
	d.DataCentre = dataCentre
	d.Platform.URLs = []string{s.platformURL}
	d.Log.Level = "warn"
	for _, address := range []*string{&d.Listen.Callers, &d.Listen.Peers, &d.Listen.Operators} {
		var err error
		if *address, err = s.reserve(d.VM); err != nil {
			return err
		}
	}
	s.entries = append(s.entries, d)
	s.document.VMs = append(s.document.VMs, inventory.VM{
		Name: d.VM, DataCentre: dataCentre, Role: inventory.RoleEntry, Address: d.Listen.Peers,
	})
	return nil
}

// reserve returns a loopback address that nothing else gets until release is
// called for the entry VM.
func (s *site) reserve(vm string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "finding a free port")
	}
	s.reserved[vm] = append(s.reserved[vm], listener)
	return listener.Addr().String(), nil
}

// release frees the addresses of an entry VM, so that its daemon can listen on
// them. Another process may take one before the daemon does.
func (s *site) release(vm string) {
	for _, listener := range s.reserved[vm] {
		_ = listener.Close()
	}
	delete(s.reserved, vm)
}

// addPeers adds to each daemon's settings all other daemons as peers.
func (s *site) addPeers() {
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
