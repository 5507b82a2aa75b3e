package entry

// Protocol contains the names of the headers exchanged with callers and
// endpoints.
type Protocol struct {
	// RequestID identifies a caller's attempt; endpoints echo it.
	RequestID string
	// Deadline is the remaining time in milliseconds.
	Deadline string
	// Authorization contains KeyScheme followed by the client account's key.
	Authorization string
	KeyScheme     string
	Account       string
	// ExpectVM names the intended VM; any other VM refuses the request with
	// status 421.
	ExpectVM string
	// NotRun marks responses to requests that did not run.
	NotRun string
	// Seal marks responses that were produced by an endpoint.
	Seal  string
	Model string
	// Tokens contains the number of prompt tokens and the maximum number of
	// output tokens.
	Tokens string
	// PromptParts lists the parts of the prompt in order, as comma-separated
	// entries of an ID and a number of tokens.
	PromptParts string
	LastEventID string
	// Faulty identifies the VM that caused a group to fail.
	Faulty string
	// Leaving marks all responses of a VM that is about to shut down.
	Leaving string
	// Limit is the number of requests a second, a decimal number, that a VM takes
	// from all nodes together.
	Limit string
	// Priority is the rank of a request, from 0, the most urgent one, to 9.
	Priority string
}
