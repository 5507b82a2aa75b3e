package route

// notPooled is the poolIndex of a candidate that is not in its pool.
const notPooled = -1

// pool is the set of one tier's candidates that can take another request.
// Adding, removing and indexing take constant time; the order is arbitrary.
type pool struct {
	items []*candidate
}

func (p *pool) add(c *candidate) {
	if c.poolIndex != notPooled {
		return
	}
	c.poolIndex = len(p.items)
	p.items = append(p.items, c)
}

func (p *pool) remove(c *candidate) {
	if c.poolIndex == notPooled {
		return
	}
	last := p.items[len(p.items)-1]
	p.items[c.poolIndex] = last
	last.poolIndex = c.poolIndex
	p.items[len(p.items)-1] = nil
	p.items = p.items[:len(p.items)-1]
	c.poolIndex = notPooled
}
