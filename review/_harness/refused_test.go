package review

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// refusedOrders is the number of orders that the case sends, and refusedEvery the time
// between two of them at the rate of place-order in Glove Supply Desk, 11.6 a second.
const (
	refusedOrders = 120
	refusedEvery  = 86 * time.Millisecond
)

// playRefused lets one of three servers fail a part of its orders, after it has run
// them, with 503 and without the header that says that an order has not run.
func playRefused(w *world) error {
	var shops []*shop
	for i := range 3 {
		s, err := w.addShop(fmt.Sprint("i-shop-", i), "glove-shop", zoneOf(i), 15*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.server.Close()
		shops = append(shops, s)
	}
	if w.trouble {
		shops[0].failShare(2, 5, http.StatusServiceUnavailable)
	}
	if err := w.configureShop(1, object{"public": true}); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := w.addNode(zoneOf(i), memoryMB, w.store.Address()); err != nil {
			return err
		}
	}
	if err := w.startAll(); err != nil {
		return err
	}
	broken := 0
	for i := range refusedOrders {
		id := fmt.Sprint("order-", i)
		status, seal, err := w.nodes[i%3].placeOrder(id)
		ran := countRuns(shops, id)
		w.note("%s: status %d, seal %q, error %v; runs: %d", id, status, seal, err, ran)
		if ran > 0 && isPromise(status) {
			broken++
		}
		time.Sleep(refusedEvery)
	}
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED, %d of %d orders ran and were answered with a promise that they had not", errBroken, broken, refusedOrders)
	}
	return nil
}

// isPromise reports whether a status tells a client that its request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failShare makes the server fail n of m orders with a status once they have run.
func (s *shop) failShare(n, m, status int) {
	count := 0
	s.answer = func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		count++
		fails := count%m < n
		s.mu.Unlock()
		if fails {
			w.WriteHeader(status)
			fmt.Fprint(w, "failed")
			return
		}
		fmt.Fprint(w, "done")
	}
}

// countRuns returns how often a request has run at all servers.
func countRuns(shops []*shop, id string) int {
	runs := 0
	for _, s := range shops {
		n, _ := s.ran(id)
		runs += n
	}
	return runs
}

// configureShop publishes a configuration with one route for orders.
func (w *world) configureShop(version int, more object) error {
	return w.store.Put("op", "config", object{
		"version": version, "routes": []any{route("/order/", "unsafe", "glove-shop", more)},
		"services": []any{object{"name": "glove-shop", "max-conns": 110}},
		"limits":   object{"max-body-bytes": bodyBytes, "max-header-bytes": 16384, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
}

// placeOrder sends an order on a channel of its own.
func (n *node) placeOrder(id string) (status int, seal string, err error) {
	return n.request(http.MethodPost, "/order/x", id, nil)
}

// request sends a request without a body on a channel of its own.
func (n *node) request(method, path, id string, more http.Header) (status int, seal string, err error) {
	c, err := dialNode(n)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	req, err := http.NewRequest(method, "http://gloves.example"+path, nil)
	if err != nil {
		return 0, "", err
	}
	for name, values := range more {
		req.Header[name] = values
	}
	req.Header.Set(headerID, id)
	req.Header.Set("Pimentoshore-Deadline-Ms", "1500")
	if err := req.Write(c); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(headerSeal), err
}
