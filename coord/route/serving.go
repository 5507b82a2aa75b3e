package route

// Serving reports whether some candidate of the target can take a request now
// or after those in flight have ended. A request for a target without one need
// not wait.
func (t *Table) Serving(targetName string) bool {
	tg, ok := t.targets[targetName]
	return ok && tg.eligible > 0
}
