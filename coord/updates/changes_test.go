package updates

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A key that was removed and written again in one answer counted as removed, as the
// order of its changes was lost.
func TestNewestChangeOfAKeyCounts(t *testing.T) {
	var c Changes[string, int]
	c.Remove("removed, then written")
	c.Put("removed, then written", 1)
	c.Put("written, then removed", 2)
	c.Remove("written, then removed")
	c.Put("written twice", 3)
	c.Put("written twice", 4)
	c.Put("written, removed, written", 5)
	c.Remove("written, removed, written")
	c.Put("written, removed, written", 6)
	c.Remove("removed")
	rows, removed := c.Split()
	assert.DeepEqual(t, rows, []int{1, 4, 6})
	assert.DeepEqual(t, removed, []string{"written, then removed", "removed"})
}

func TestNoChangesSplitIntoNothing(t *testing.T) {
	var c Changes[string, int]
	rows, removed := c.Split()
	assert.Equal(t, len(rows)+len(removed), 0)
}
