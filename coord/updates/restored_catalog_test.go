package updates

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// Guards against a node that doesn't get a newer configuration from one with an older read.
func TestNewerConfigurationReachesNodeWithNewerRead(t *testing.T) {
	knows := NewRecord()
	newer := catalog.New(5, nil, nil, catalog.Accounts{}, catalog.Limits{})
	older := catalog.New(4, nil, nil, catalog.Accounts{}, catalog.Limits{})
	assert.Assert(t, knows.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true, Catalog: newer}))
	assert.Assert(t, knows.PutOperators(start, Operators{Era: 2, Version: 8, Whole: true, Catalog: older}))
	restarted := NewRecord()
	assert.Assert(t, restarted.PutOperators(start, Operators{Era: 2, Version: 9, Whole: true, Catalog: older}))
	u := knows.OperatorsAfter(restarted.Position())
	assert.Assert(t, u != nil && u.Catalog == newer)
}
