// Package endpoint is the client of model engines and plain services.
package endpoint

// Paths of an engine's control interface.
const (
	ReportPath = "/control/report" // GET, answers member.Report
	OrderPath  = "/control/orders" // POST member.Order, answers member.Report, 409 if fenced off
)

// Headers between the system and an endpoint.
const (
	// HeaderGroup and HeaderGeneration name the group that a request is
	// meant for; an engine in another one answers 409 without running it.
	HeaderGroup      = "Pimentoshore-Group"
	HeaderGeneration = "Pimentoshore-Generation"
	// HeaderAttempt identifies one dispatch; the endpoint echoes it.
	HeaderAttempt = "Pimentoshore-Attempt"
	// HeaderIncarnation carries the answering endpoint's incarnation.
	HeaderIncarnation = "Pimentoshore-Incarnation"
	// HeaderLastEventID resumes a stream after the event with that id, as in
	// the server-sent events specification. Engines number events from 1.
	HeaderLastEventID = "Last-Event-ID"
)
