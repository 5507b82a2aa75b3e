package updates

// Changes collects the changes of a table's rows in the order in which the store
// made them. A later change of a key replaces the earlier ones, so that no key is
// both among the rows and among the removed keys.
type Changes[K comparable, R any] struct {
	list []change[K, R]
	// newest is the index in list of the newest change of each key.
	newest map[K]int
}

// change is a row that was written, or the removal of one.
type change[K comparable, R any] struct {
	key     K
	row     R
	removed bool
}

// Put records that a row was written.
func (c *Changes[K, R]) Put(key K, row R) { c.add(change[K, R]{key: key, row: row}) }

// Remove records that the row of a key was removed.
func (c *Changes[K, R]) Remove(key K) { c.add(change[K, R]{key: key, removed: true}) }

func (c *Changes[K, R]) add(ch change[K, R]) {
	if c.newest == nil {
		c.newest = make(map[K]int)
	}
	c.newest[ch.key] = len(c.list)
	c.list = append(c.list, ch)
}

// Split returns the rows and the removed keys after all changes.
func (c *Changes[K, R]) Split() (rows []R, removed []K) {
	for i, ch := range c.list {
		switch {
		case c.newest[ch.key] != i:
		case ch.removed:
			removed = append(removed, ch.key)
		default:
			rows = append(rows, ch.row)
		}
	}
	return rows, removed
}
