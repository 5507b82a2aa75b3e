package route

// Serving reports whether some candidate of the target may get requests now
// or once those in flight have ended. Nothing is gained by waiting for a
// target that has none.
func (t *Table) Serving(targetName string) bool {
	tg, ok := t.targets[targetName]
	if !ok {
		return false
	}
	return tg.free > 0 || t.anyServing(tg)
}

func (t *Table) anyServing(tg *target) bool {
	for _, c := range t.local {
		if c.target == tg && c.serving && c.limit > 0 {
			return true
		}
	}
	return anyServing(tg, t.peers) || anyServing(tg, t.remotes)
}

func anyServing(tg *target, by map[string][]*candidate) bool {
	for _, list := range by {
		for _, c := range list {
			if c.target == tg && c.serving && c.limit > 0 {
				return true
			}
		}
	}
	return false
}
