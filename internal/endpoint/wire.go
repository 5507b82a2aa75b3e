// Package endpoint is the client of model engines and plain services.
package endpoint

// Paths of an engine's control interface.
const (
	ReportPath = "/control/report" // GET, returns member.Report
	OrderPath  = "/control/orders" // POST member.Order, returns member.Report, or 409 if the fence is stale
)

// Headers between the system and an endpoint.
const (
	// HeaderGroup and HeaderGeneration identify the group that a request is for.
	// An engine that is in another group or generation answers 409 and does not
	// run the request.
	HeaderGroup      = "Pimentoshore-Group"
	HeaderGeneration = "Pimentoshore-Generation"
	// HeaderAttempt identifies one attempt; the endpoint returns it in every
	// response. Connections to endpoints that don't are not reused.
	HeaderAttempt = "Pimentoshore-Attempt"
	// HeaderIncarnation is the incarnation of the endpoint that responds.
	HeaderIncarnation = "Pimentoshore-Incarnation"
	// HeaderLastEventID is the id of the event after which a stream resumes, as
	// in the server-sent events specification. Engines number events from 1.
	HeaderLastEventID = "Last-Event-ID"
)
