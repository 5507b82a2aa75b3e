package review

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

const (
	// outage is how long the store answers nobody.
	outage = 4 * time.Second
	// lapseAfter is when entries expire in it: after three check-in intervals.
	lapseAfter = 3 * 1200 * time.Millisecond
	// Servers are back within about two seconds of the store's return.
	deskBack = 100 * time.Millisecond
	infoBack = 1900 * time.Millisecond
	// calm is the time from the end of the disruption until the requests that count.
	// By then the store is stable and the nodes are in touch (contact-ms 3,000).
	calm = 8 * time.Second
	// requestsEach is how many requests each node gets on each kind of route.
	requestsEach = 20
)

// lapsedEntries plays an outage of the store in which the entries of all servers
// expire. The servers register again once it is back.
func lapsedEntries(w *world, trouble bool) (broken bool, err error) {
	return w.checkAddedRoutes(trouble, w.lapse)
}

// checkAddedRoutes reports whether routes that are added after a disruption are served
// less than a quarter as often as the first ones. The added ones go to service desk,
// the first ones to desk and info.
func (w *world) checkAddedRoutes(trouble bool, disrupt func(desk, info []*server) error) (broken bool, err error) {
	var desk, info []*server
	for i := range 3 {
		s, err := w.addServer(fmt.Sprintf("i-desk%d", i+1), "desk", "z-a")
		if err != nil {
			return false, err
		}
		desk = append(desk, s)
	}
	for i := range 3 {
		s, err := w.addServer(fmt.Sprintf("i-info%d", i+1), "info", "z-a")
		if err != nil {
			return false, err
		}
		info = append(info, s)
	}
	services := []string{"desk", "info"}
	first := []route{{"/order/", "unsafe", "desk"}, {"/status/", "safe", "info"}}
	if err := w.configure(services, first); err != nil {
		return false, err
	}
	for _, zone := range []string{"z-a", "z-b"} {
		if err := w.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	client := &http.Client{Timeout: 3 * time.Second}
	before := w.serve(client, "before", "POST", "/order/1") + w.serve(client, "before", "GET", "/status/1")
	if before < 4*requestsEach*9/10 {
		return false, fmt.Errorf("only %d requests were served before the disruption", before)
	}
	if trouble {
		if err := disrupt(desk, info); err != nil {
			return false, err
		}
	}
	time.Sleep(calm)
	added := append(first, route{"/new-1/", "unsafe", "desk"}, route{"/new-2/", "safe", "desk"})
	if err := w.configure(services, added); err != nil {
		return false, err
	}
	w.logf("the config with /new-1/ and /new-2/ is confirmed")
	time.Sleep(3 * time.Second)
	onFirst := w.serve(client, "first", "GET", "/status/2") + w.serve(client, "first", "POST", "/order/2")
	onAdded := w.serve(client, "added", "POST", "/new-1/2") + w.serve(client, "added", "GET", "/new-2/2")
	total := 2 * requestsEach * len(w.nodes)
	for _, s := range append(desk, info...) {
		w.logf("server %s ran %d requests in all", s.id, s.ran())
	}
	w.logf("served on the first routes: %d of %d, on the added routes: %d of %d", onFirst, total, onAdded, total)
	return 4*onAdded < onFirst, nil
}

// lapse plays the outage.
func (w *world) lapse(desk, info []*server) error {
	w.store.Fail(cloud.Silent)
	w.logf("the store answers nobody")
	time.Sleep(lapseAfter)
	for _, s := range append(append([]*server{}, desk...), info...) {
		w.store.Delete("servers", s.id)
	}
	w.logf("the entries of all servers expire")
	time.Sleep(outage - lapseAfter)
	w.store.Fail(cloud.Healthy)
	w.logf("the store answers again")
	time.Sleep(deskBack)
	for _, s := range desk {
		if err := s.register(); err != nil {
			return err
		}
	}
	w.logf("the servers of desk are registered again")
	time.Sleep(infoBack - deskBack)
	for _, s := range info {
		if err := s.register(); err != nil {
			return err
		}
	}
	w.logf("the servers of info are registered again")
	return nil
}

// serve sends requests to each node and returns how many were served.
func (w *world) serve(client *http.Client, phase, method, path string) int {
	served := 0
	for _, n := range w.nodes {
		for i := range requestsEach {
			id := fmt.Sprintf("%s-%s-%s-%d", phase, n.name, path[1:6], i)
			if w.send(client, n, method, path, id) == http.StatusOK {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return served
}
