package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callEvery is the pause between a caller's requests.
const callEvery = 15 * time.Millisecond

// callTimeout is a little more than a request's time at a node.
const callTimeout = 8 * time.Second

// call is a request of a caller and its answer.
type call struct {
	id      string
	kind    string
	account string
	node    *process
	sentAt  time.Time
	status  int
	body    string
	err     error
}

// callers send requests of each kind to each node over kept connections, until
// they are told to stop.
type callers struct {
	site *site
	mu   sync.Mutex
	all  []call
	wg   sync.WaitGroup
}

func (c *callers) run(ctx context.Context) {
	for n, node := range c.site.nodes {
		for k, kind := range []string{"order", "look", "ask"} {
			c.wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
				for i := 0; ctx.Err() == nil; i++ {
					done := send(client, node, kind, fmt.Sprintf("%x%02x%02x%08x", n+1, k+1, n, i), c.site.present())
					c.mu.Lock()
					c.all = append(c.all, done)
					c.mu.Unlock()
					time.Sleep(callEvery)
				}
			})
		}
	}
}

// send sends one request under an account's key and reads its answer.
func send(client *http.Client, node *process, kind, id, account string) call {
	c := call{id: id, kind: kind, account: account, node: node, sentAt: time.Now()}
	method := http.MethodPost
	if kind == "look" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+node.callers+"/"+kind+"/x", nil)
	if err != nil {
		c.err = err
		return c
	}
	req.Host = "h"
	req.Header.Set("Pimentoshore-Attempt-Id", id)
	req.Header.Set("Authorization", "Bearer key-"+account)
	req.Header.Set("Pimentoshore-Model", "m")
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return c
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	c.body, c.err = string(raw), err
	return c
}

// whole reports whether the answer is a success with the body that the endpoint
// makes for this request and no other.
func (c *call) whole() bool {
	if c.status != http.StatusOK || c.err != nil {
		return false
	}
	if c.kind != "ask" {
		return c.body == c.id+" order taken for "+c.account
	}
	want := &strings.Builder{}
	for id := 1; id <= 20; id++ {
		fmt.Fprintf(want, "id: %d\ndata: piece\n\n", id)
	}
	return c.body == want.String()
}

// refused reports whether the answer promises that the request has not run.
func (c *call) refused() bool {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
