package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memory-mb of the smallest machines of Glove Supply Desk, and
	// bodyBytes is max-body-bytes of its configuration.
	memoryMB  = 414
	bodyBytes = 4 << 20
	// burstClients send a large order at the same moment, and usualClients send small
	// ones all the while: together the 97 clients of the site.
	burstClients = 80
	usualClients = 17
)

// playMemory lets most clients send one order with a body of the allowed size at the
// same moment, and the others small ones all the while, each on a kept channel.
func playMemory(w *world) error {
	var shops []*shop
	for i := range 3 {
		s, err := w.addShop(fmt.Sprint("i-shop-", i), "glove-shop", "cz-central-a", 60*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.server.Close()
		shops = append(shops, s)
	}
	if err := w.store.Put("op", "config", object{
		"version": 1, "routes": []any{route("/order/", "unsafe", "glove-shop", object{"public": true, "timeout-ms": 8000})},
		"services": []any{object{"name": "glove-shop", "max-conns": 110}},
		"limits":   object{"max-body-bytes": bodyBytes, "max-header-bytes": 16384, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}); err != nil {
		return err
	}
	n, err := w.addNode("cz-central-a", memoryMB, w.store.Address())
	if err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	b := &burst{w: w, n: n, shops: shops, over: make(chan struct{})}
	stopWatch := w.killAboveLimit(n)
	b.play()
	killed := stopWatch()
	w.note("killed: %v; orders on kept channels that ran at a server and got no answer: %d", killed, b.unanswered.Load())
	if killed && b.unanswered.Load() > 3 {
		return fmt.Errorf("%w: LOST, %d orders", errBroken, b.unanswered.Load())
	}
	return nil
}

// burst is the traffic of the case.
type burst struct {
	w          *world
	n          *node
	shops      []*shop
	over       chan struct{} // closed once the large orders have ended
	unanswered atomic.Int64
}

// play runs all clients until the large orders have ended.
func (b *burst) play() {
	var usual, large sync.WaitGroup
	for i := range usualClients {
		usual.Go(func() { b.sendSmall(i) })
	}
	time.Sleep(time.Second)
	clients := burstClients
	if !b.w.trouble {
		clients = 4
	}
	b.w.note("%d clients send an order of %d bytes each", clients, bodyBytes)
	for i := range clients {
		large.Go(func() { b.sendLarge(i) })
	}
	large.Wait()
	close(b.over)
	usual.Wait()
	_, peak := b.n.memory()
	b.w.note("memory of the VM at its peak: %d MB, limit %d MB", peak, memoryMB)
}

// sendSmall sends one small order after the other on one channel.
func (b *burst) sendSmall(i int) {
	c, err := dialNode(b.n)
	if err != nil {
		b.w.note("client %d: %v", i, err)
		return
	}
	defer c.Close()
	for k := 0; ; k++ {
		select {
		case <-b.over:
			return
		default:
		}
		if !b.send(c, fmt.Sprintf("small-%d-%d", i, k), 600, k > 0) {
			return
		}
	}
}

// sendLarge sends one small and one large order on a channel.
func (b *burst) sendLarge(i int) {
	c, err := dialNode(b.n)
	if err != nil {
		b.w.note("large client %d: %v", i, err)
		return
	}
	defer c.Close()
	if b.send(c, fmt.Sprint("first-", i), 600, false) {
		b.send(c, fmt.Sprint("large-", i), bodyBytes, true)
	}
}

// send sends an order and reports whether it was answered. kept is whether the channel
// was used before.
func (b *burst) send(c *caller, id string, bytes int, kept bool) bool {
	status, err := c.order(id, bytes)
	if err == nil {
		b.w.note("%s answered with %d", id, status)
		return true
	}
	ran := 0
	for _, s := range b.shops {
		k, _ := s.ran(id)
		ran += k
	}
	b.w.note("%s: channel closed without an answer (%v); kept: %v, runs: %d", id, err, kept, ran)
	if kept && ran > 0 {
		b.unanswered.Add(1)
	}
	return false
}

// killAboveLimit ends the VM's process once it has more memory than its limit, as the
// platform does. The function that it returns ends the watch and reports whether
// the process was ended.
func (w *world) killAboveLimit(n *node) (stop func() bool) {
	done, result := make(chan struct{}), make(chan bool, 1)
	go func() {
		for {
			select {
			case <-done:
				result <- false
				return
			case <-time.After(2 * time.Millisecond):
			}
			if now, _ := n.memory(); now > n.memoryMB {
				n.signal(syscall.SIGKILL)
				w.note("%s has %d MB, over its limit: it is killed", n.name, now)
				result <- true
				return
			}
		}
	}()
	return func() bool { close(done); return <-result }
}

// caller is a client with a kept channel to an entry VM.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dialNode(n *node) (*caller, error) {
	conn, err := net.Dial("tcp", n.callers)
	if err != nil {
		return nil, err
	}
	return &caller{conn, bufio.NewReader(conn)}, nil
}

// order sends an order and waits for its answer.
func (c *caller) order(id string, bytes int) (int, error) {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	req, err := http.NewRequest(http.MethodPost, "http://gloves.example/order/x", strings.NewReader(strings.Repeat("0", bytes)))
	if err != nil {
		return 0, err
	}
	req.Header.Set(headerID, id)
	req.Header.Set("Pimentoshore-Deadline-Ms", "8000")
	if err := req.Write(pacedWriter{c}); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// uplink is the rate, in bytes a second, at which a client sends: 16 Mbit/s.
const uplink = 2 << 20

// pacedWriter writes at the rate of a client's own link.
type pacedWriter struct{ io.Writer }

// Write implements io.Writer.
func (p pacedWriter) Write(b []byte) (int, error) {
	const piece = 16 << 10
	sent := 0
	for began := time.Now(); sent < len(b); {
		n, err := p.Writer.Write(b[sent:min(len(b), sent+piece)])
		sent += n
		if err != nil {
			return sent, err
		}
		time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / uplink)))
	}
	return sent, nil
}
