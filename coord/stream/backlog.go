package stream

// backlog counts the delivered bytes that the caller's connection has not
// consumed yet.
type backlog struct {
	queued []int // sizes of the unconsumed events, in order of id
	// first is the id of the first unconsumed event.
	first uint64
	bytes int
}

// add appends an event of size bytes.
func (b *backlog) add(id uint64, size int) {
	if len(b.queued) == 0 {
		b.first = id
	}
	// An empty event counts as one byte, since it also takes a place in the
	// queue.
	size = max(size, 1)
	b.queued = append(b.queued, size)
	b.bytes += size
}

// consume removes the events up to an id.
func (b *backlog) consume(id uint64) {
	for len(b.queued) > 0 && b.first <= id {
		b.bytes -= b.queued[0]
		b.queued = b.queued[1:]
		b.first++
	}
}
