package platform

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

// Guards against a read or a write that counts as answered because the table service
// sends a status that is no answer. Whether the write took effect is unknown.
func TestStatusThatIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/3.0 200 OK"} {
		service, err := wire.NewRaw("127.0.0.1", head+"\r\nContent-Length: 14\r\n\r\n{\"revision\":9}")
		assert.NilError(t, err)
		t.Cleanup(service.Close)
		c := NewClient(ClientOptions{URLs: []string{"http://" + service.Address()}})
		_, err = c.Get(context.Background(), "k")
		assert.Assert(t, errors.Is(err, ErrUnavailable), "%s: %v", head, err)
		_, err = c.Commit(context.Background(), Txn{Writes: []Write{{Key: "k"}}})
		assert.Assert(t, errors.Is(err, ErrUnknown), "%s: %v", head, err)
	}
}
