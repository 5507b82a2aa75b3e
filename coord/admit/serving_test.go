package admit

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// TestRequestsWithoutEndpointAreRefused checks that new and waiting requests are
// refused if no endpoint serves their target, even if they have no deadline.
func TestRequestsWithoutEndpointAreRefused(t *testing.T) {
	d := newDriver(Options{}, 1)
	d.grant("c", 10, 10, false)
	assert.Equal(t, d.offer(start, "c", 0, 0).Verdict, Admit)
	assert.Equal(t, d.offer(start, "c", 0, 0).Verdict, Queue)
	waiting := d.next
	d.endpoints.gone = true
	refused := d.offer(start, "c", 0, 0)
	assert.Equal(t, refused.Verdict, Refuse)
	assert.Equal(t, refused.Problem.Kind, problem.NoEndpoint)
	assert.Equal(t, refused.Problem.Ran, problem.RanNo)
	d.apply(d.Tick(start))
	assert.Assert(t, d.refused[waiting] != nil, "a waiting request was not refused")
	assert.Assert(t, d.refused[waiting].RetryAfter > 0)
}
