package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Guards against an answer with a status of 000, or another one that HTTP doesn't have,
// which net/http takes as an answer.
func TestStatusOutsideOfTheProtocolFailsTheCall(t *testing.T) {
	for head, ok := range map[string]bool{
		"HTTP/1.1 000 OK": false, "HTTP/1.1 001 OK": false, "HTTP/1.1 099 OK": false, "HTTP/1.1 +20 OK": false, "HTTP/1.1 -00 OK": false,
		"HTTP/1.1 600 OK": false, "HTTP/1.1 999 OK": false, "HTTP/3.0 200 OK": false, "HTTP/0.9 200 OK": false,
		"HTTP/1.1 200 OK": true, "HTTP/1.0 200 OK": true, "HTTP/1.1 404 OK": true, "HTTP/1.1 599 OK": true,
	} {
		base := &http.Transport{DisableKeepAlives: true}
		client := http.Client{Transport: NewTransport(base)}
		server, err := wire.NewRaw("127.0.0.1", head+"\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		resp, err := client.Get("http://" + server.Address())
		assert.Equal(t, err == nil, ok, "%s: %v", head, err)
		if ok {
			resp.Body.Close()
			continue
		}
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", head, err)
	}
}

func TestCheckAcceptsTheStatusesOfHTTP(t *testing.T) {
	for status := -100; status < 1100; status++ {
		err := Check(&http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, StatusCode: status})
		assert.Equal(t, err == nil, status >= 100 && status <= 599, fmt.Sprint(status))
	}
}
