package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSharedPartsLeaveOutTheLast(t *testing.T) {
	assert.Equal(t, partIDs(sharedParts("")), "")
	assert.Equal(t, partIDs(sharedParts("5c1e07a2:800")), "")
	assert.Equal(t, partIDs(sharedParts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250")), "5c1e07a2,91bd3f06")
	assert.Equal(t, partIDs(sharedParts(":1,,0a:x,b:2")), "a")
	assert.Equal(t, len(sharedParts("not hexadecimal:3,b:2")), 1)
}
