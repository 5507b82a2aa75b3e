package route

// Serving reports whether some candidate of the target may get requests now
// or once those in flight have ended. Nothing is gained by waiting for a
// target that has none.
func (t *Table) Serving(targetName string) bool {
	tg, ok := t.targets[targetName]
	return ok && tg.bearing > 0
}
