// Package fleet keeps what one node knows of the endpoint VMs: the list that
// the platform publishes and the VMs' own reports, each with its age.
//
// A Table is stepped by its owner, which passes the time in. It does no I/O
// and is not safe for concurrent use.
package fleet
