// Package fleet keeps one node's view of the endpoint VMs: the list that the
// platform publishes and the VMs' own reports, each with its age.
//
// The owner of a Table passes in the current time. A Table does no I/O and is not
// safe for concurrent use.
package fleet
