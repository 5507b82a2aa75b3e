package soak

import "time"

// touch is a span of time in which a fault affects a target: a VM's name, "store",
// or the door of a node, which is its link to the store.
type touch struct {
	target   string
	from, to time.Time // to is zero while the fault lasts
}

func doorOf(node string) string { return node + "'s door" }

// beginTouch records that a fault affects the target, and returns the function
// that records its end.
func (f *faults) beginTouch(target string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &touch{target: target, from: time.Now()}
	f.touches = append(f.touches, t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.to = time.Now()
	}
}

// isTouched reports whether a fault affected one of the targets between from and to.
func (f *faults) isTouched(from, to time.Time, targets ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.touches {
		for _, target := range targets {
			if t.target == target && t.from.Before(to) && (t.to.IsZero() || t.to.After(from)) {
				return true
			}
		}
	}
	return false
}
