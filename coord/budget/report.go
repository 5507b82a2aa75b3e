package budget

const (
	// demandStep sets the reporting threshold for demand: while the share
	// suffices, demand must have changed by more than 1/demandStep of it.
	demandStep = 4
	// completedStep sets the reporting threshold for the count of completed
	// requests: it must have grown by 1/completedStep since the last report,
	// and by at least DefaultPerSlot.
	completedStep = 4
)

// needsReport reports whether a ledger might act differently on the entry than on
// the last one that was reported to it. Requests that come and go within a share
// need no report, so report traffic does not grow with request traffic.
func (e Entry) needsReport(last Entry) bool {
	other := e
	other.Demand, other.Completed = last.Demand, last.Completed
	return other != last || e.demandNeedsReport(last) || e.completedNeedsReport(last)
}

func (e Entry) demandNeedsReport(last Entry) bool {
	if e.Demand == last.Demand {
		return false
	}
	exceedsHeld := e.Demand > e.Held || last.Demand > last.Held
	idleChanged := (e.Demand == 0) != (last.Demand == 0)
	change := max(e.Demand, last.Demand) - min(e.Demand, last.Demand)
	return exceedsHeld || idleChanged || change > e.Held/demandStep
}

func (e Entry) completedNeedsReport(last Entry) bool {
	return e.Completed >= last.Completed+max(DefaultPerSlot, last.Completed/completedStep)
}
