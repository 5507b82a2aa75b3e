package review

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxSockets is limits.max-fds of the smallest machines of Glove Supply Desk, less
	// the 200 descriptors that are reserved for files.
	maxSockets = 6150 - 200
	// newChannelEvery is the time between two requests at the VM that is left in
	// cz-central-a once two machines are lost, the other one there and the one in
	// cz-central-c: 61 a second of its own zone, and a third of the 46.7 of the other.
	newChannelEvery = time.Second / 76
	idleLength      = 92 * time.Second
	// clientWait is the time limit of an order.
	clientWait = 1500 * time.Millisecond
	// contactMS is contact-ms, and clientsTrying the number of clients of the rule.
	contactMS     = 3 * time.Second
	clientsTrying = 7
)

// playIdle lets each request come on a new channel that its client leaves open and
// idle. idle-timeout-ms of the configuration is 15 s.
func playIdle(w *world) error {
	for i := range 3 {
		s, err := w.addShop(fmt.Sprint("i-shop-", i), "glove-shop", "cz-central-a", 15*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.server.Close()
		s.quiet = true
	}
	if err := w.store.Put("op", "config", object{
		"version": 1, "routes": []any{route("/order/", "unsafe", "glove-shop", object{"public": true, "timeout-ms": 1500})},
		"services": []any{object{"name": "glove-shop", "max-conns": 110}},
		"limits":   object{"max-body-bytes": bodyBytes, "max-header-bytes": 16384, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}); err != nil {
		return err
	}
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < maxSockets+2000 {
		return fmt.Errorf("the clients need %d descriptors, the limit is %d (%v)", maxSockets+2000, own.Cur, err)
	}
	n, err := w.addNode("cz-central-a", memoryMB, w.store.Address())
	if err != nil {
		return err
	}
	if err := w.startAll(); err != nil {
		return err
	}
	if err := unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxSockets, Max: maxSockets}, nil); err != nil {
		return err
	}
	users := &users{n: n, ready: make(map[int]bool), tried: make(map[int]int), taken: make(map[int]int)}
	users.play(w)
	return users.judge(w)
}

// users are the clients of the case, with counts by second.
type users struct {
	n *node

	mu           sync.Mutex
	ready        map[int]bool
	tried, taken map[int]int
	open         []*caller
}

// play opens channels for idleLength.
func (u *users) play(w *world) {
	var wg sync.WaitGroup
	began := time.Now()
	second := func() int { return int(time.Since(began) / time.Second) }
	wg.Go(func() { u.checkReady(began, second) })
	ticker := time.NewTicker(newChannelEvery)
	defer ticker.Stop()
	last := -1
	for k := 0; time.Since(began) < idleLength; k++ {
		<-ticker.C
		s := second()
		if s != last {
			last = s
			now, _ := u.n.memory()
			u.mu.Lock()
			w.note("second %d: %d channels open, %d tried and %d answered in the second before, ready %v, memory %d MB", s, len(u.open), u.tried[s-1], u.taken[s-1], u.ready[s-1], now)
			u.mu.Unlock()
		}
		wg.Go(func() { u.visit(w, k, s) })
	}
	wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.open {
		c.Close()
	}
}

// checkReady asks once a second, on a kept channel, whether the VM is ready.
func (u *users) checkReady(began time.Time, second func() int) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	for time.Since(began) < idleLength {
		resp, err := client.Get("http://" + u.n.ready + "/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // so that the channel is kept
			resp.Body.Close()
		}
		u.mu.Lock()
		u.ready[second()] = ok
		u.mu.Unlock()
		time.Sleep(time.Second - time.Since(began)%time.Second)
	}
}

// visit sends one order on a new channel. The client leaves the channel open if the
// case has its disruption.
func (u *users) visit(w *world, k, s int) {
	u.mu.Lock()
	u.tried[s]++
	u.mu.Unlock()
	c, err := dialNode(u.n)
	if err != nil {
		return
	}
	_ = c.SetDeadline(time.Now().Add(clientWait))
	req, err := http.NewRequest(http.MethodPost, "http://gloves.example/order/x", nil)
	if err != nil {
		return
	}
	req.Header.Set(headerID, fmt.Sprint("order-", k))
	req.Header.Set("Pimentoshore-Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	c.r = bufio.NewReaderSize(c, 512)
	if err := req.Write(c); err != nil {
		c.Close()
		return
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		c.Close()
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status tells enough
	u.mu.Lock()
	defer u.mu.Unlock()
	u.taken[s]++
	if !w.trouble {
		c.Close()
		return
	}
	u.open = append(u.open, c)
}

// judge looks for contact-ms in which enough clients tried, none was answered, and the
// VM said that it was ready.
func (u *users) judge(w *world) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	whole := int(contactMS/time.Second) + 1 // whole seconds that hold the span
	for s := 0; s+whole <= int(idleLength/time.Second)-2; s++ {
		silent := true
		for i := s; i < s+whole; i++ {
			silent = silent && u.tried[i] >= clientsTrying && u.taken[i] == 0 && u.ready[i]
		}
		if silent {
			return fmt.Errorf("%w: RECOVER, from second %d the VM was ready and took no new channel for %d s; %d clients tried in the first of them", errBroken, s, whole, u.tried[s])
		}
	}
	return nil
}
