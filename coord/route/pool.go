package route

// notPooled is the position of a candidate outside its pool.
const notPooled = -1

// pool is the set of one tier's candidates that can take another request.
// Adding, removing and indexing take constant time.
type pool struct {
	items []*candidate
}

func (p *pool) add(c *candidate) {
	if c.position != notPooled {
		return
	}
	c.position = len(p.items)
	p.items = append(p.items, c)
}

func (p *pool) remove(c *candidate) {
	if c.position == notPooled {
		return
	}
	last := p.items[len(p.items)-1]
	p.items[c.position] = last
	last.position = c.position
	p.items[len(p.items)-1] = nil
	p.items = p.items[:len(p.items)-1]
	c.position = notPooled
}
