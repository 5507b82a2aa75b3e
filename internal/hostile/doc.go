// Package hostile contains tests that attack the system's own processes with clients
// outside the limits: bodies that never end or are far too large, endless headers,
// callers that don't read and connections that send nothing.
//
// Each test starts one process, either an entry VM (pimentoshored entry) or an entry
// daemon (pimentoshored), with stand-ins behind it, and a small crowd of connections
// that stay open. It checks only what doesn't depend on the machine's speed: the process
// stays alive, its peak resident memory and its open descriptors stay under bounds that
// follow from the stated size of its VM, and an ordinary request is answered with 200
// while the hostile connections are open. It checks no times and no share of served
// requests.
//
// The crowds and the bounds were fixed on the code before the limits were added and are
// kept as they are.
//
// The tests run one at a time. To run one of them:
//
//	go test ./internal/hostile -count=1 -v -run '^TestEntryStalledChunkedBodies$'
package hostile
