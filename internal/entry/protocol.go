package entry

// Protocol holds the names of the headers that callers and endpoints speak.
type Protocol struct {
	// RequestID names a caller's attempt; endpoints echo it.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Authorization carries the account's key after KeyScheme.
	Authorization string
	KeyScheme     string
	Account       string
	// ExpectVM makes any other VM refuse the request with status 421.
	ExpectVM string
	// NotRun marks answers that say that the request did not run.
	NotRun string
	// Seal marks answers that an endpoint made.
	Seal  string
	Model string
	// Tokens is the prompt's number of tokens and the most to be written.
	Tokens      string
	LastEventID string
	// Faulty names the VM that made a group fail.
	Faulty string
	// Leaving marks all answers of a VM that is about to end.
	Leaving string
}
