package stream

// backlog counts the delivered bytes that the caller has not taken yet.
type backlog struct {
	sizes []int // of the events from first on
	first uint64
	bytes int
}

func (b *backlog) add(id uint64, size int) {
	if len(b.sizes) == 0 {
		b.first = id
	}
	// An event costs its place in the queue even if it is empty.
	size = max(size, 1)
	b.sizes = append(b.sizes, size)
	b.bytes += size
}

func (b *backlog) consume(id uint64) {
	for len(b.sizes) > 0 && b.first <= id {
		b.bytes -= b.sizes[0]
		b.sizes = b.sizes[1:]
		b.first++
	}
}
