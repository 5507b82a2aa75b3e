package entry

import (
	"fmt"
	"strings"
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

// Guards against headers that cost memory for each part, or fail a request that was
// served without them.
func TestHostilePartsHaveBoundedPrefix(t *testing.T) {
	assert.Assert(t, prefixOf("", 1000) == nil)
	assert.Assert(t, prefixOf("5c1e07a2:800", 1000) == nil, "the request's own part")
	assert.Assert(t, prefixOf("5c1e07a2:800,91bd3f06:10", 0) == nil, "a prompt of unknown length")
	assert.Assert(t, prefixOf("5c1e07a2:800,91bd3f06:10", -4) == nil)

	odd := "5c1e07a2:99999999999999999999,:4,,x:-1,7f:9223372036854775807, 8 : 3 ,"
	list := odd
	for i := range 1000 {
		list += fmt.Sprintf("%x:1000000,", i)
	}
	got := prefixOf(list+"own:5", 1000)
	assert.Equal(t, got.Tokens(), 1000)
	assert.Equal(t, got.Parts(), 16)
	list = strings.Repeat(odd, 200)
	assert.Equal(t, prefixOf(list, 1000).Parts(), 4)
	allocated := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			prefixOf(list, 1000)
		}
	}).AllocedBytesPerOp()
	assert.Assert(t, allocated < 4096, "%d bytes", allocated)
}
