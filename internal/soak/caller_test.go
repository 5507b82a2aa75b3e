package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// callInterval is the pause between two requests of a caller.
const callInterval = 15 * time.Millisecond

// callTimeout is slightly longer than a node allows for a request.
const callTimeout = 8 * time.Second

// call is a request and the answer that the caller received.
type call struct {
	id      string
	kind    string
	account string
	// withdrawn is whether the account's key was known to be withdrawn.
	withdrawn bool
	node      *process
	// start is the number of the node's start at the sending.
	start   int
	sentAt  time.Time
	endedAt time.Time
	status  int
	body    string
	err     error
}

// callers sends requests of each kind to each node over persistent connections
// and records the answers.
type callers struct {
	site *site
	// withdrawn is whether one more caller per node uses withdrawn keys.
	withdrawn bool

	mu    sync.Mutex
	calls []call
	wg    sync.WaitGroup
}

// start starts one caller per node and kind of request. They stop when ctx
// ends.
func (c *callers) start(ctx context.Context) {
	kinds := []string{"order", "look", "ask"}
	all := kinds
	if c.withdrawn {
		all = append(slices.Clone(kinds), "look")
	}
	for n, node := range c.site.nodes {
		for k, kind := range all {
			c.wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
				for i := 0; ctx.Err() == nil; i++ {
					account, withdrawn := c.site.currentAccount(), k >= len(kinds)
					if withdrawn {
						account = c.site.withdrawnAccount(i)
					}
					done := send(client, node, kind, fmt.Sprintf("%x%02x%02x%08x", n+1, k+1, n, i), account)
					done.withdrawn = withdrawn
					c.mu.Lock()
					c.calls = append(c.calls, done)
					c.mu.Unlock()
					time.Sleep(callInterval)
				}
			})
		}
	}
}

// send sends one request with the key of an account and reads the answer.
func send(client *http.Client, node *process, kind, id, account string) (c call) {
	c = call{id: id, kind: kind, account: account, node: node, start: node.startCount(), sentAt: time.Now()}
	defer func() { c.endedAt = time.Now() }()
	method := http.MethodPost
	if kind == "look" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+node.callerAddress+"/"+kind+"/x", nil)
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

// isCorrect reports whether the answer is a success with exactly the body that
// the endpoint produces for this request.
func (c *call) isCorrect() bool {
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

// isRefused reports whether the status guarantees that the request was not
// executed.
func (c *call) isRefused() bool {
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
