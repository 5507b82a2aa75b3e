package budget

const (
	// demandStep is the part of a share by which demand must have moved to be
	// reported while the share suffices.
	demandStep = 4
	// completedStep is the same for the count of completed requests.
	completedStep = 4
)

// news reports whether a ledger would act differently on the entry than on
// the last one it was sent. Requests that come and go within a share are none,
// so the traffic of reports does not grow with that of requests.
func (e Entry) news(last Entry) bool {
	counts := e
	counts.Demand, counts.Completed = last.Demand, last.Completed
	return counts != last || e.demandNews(last) || e.completedNews(last)
}

func (e Entry) demandNews(last Entry) bool {
	if e.Demand == last.Demand {
		return false
	}
	lacks := e.Demand > e.Held || last.Demand > last.Held
	idles := (e.Demand == 0) != (last.Demand == 0)
	moved := max(e.Demand, last.Demand) - min(e.Demand, last.Demand)
	return lacks || idles || moved > e.Held/demandStep
}

func (e Entry) completedNews(last Entry) bool {
	return e.Completed >= last.Completed+max(DefaultWarmup, last.Completed/completedStep)
}
