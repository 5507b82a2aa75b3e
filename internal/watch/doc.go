// Package watch reads the rows that operators and endpoint VMs publish on the
// platform, and reports the time as of which each read is current.
package watch
