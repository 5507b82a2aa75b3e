// Package group decides which VMs of one data centre form the groups that
// serve models, and whether a group is whole.
//
// Reports runs on every node that routes requests and answers whether a group
// may get work: only while the fresh report of each of its members is Ready
// and names the group, its generation and its model at the member's rank.
//
// Manager runs on the node that holds the coordinator lease of the data
// centre. It assembles, repairs, drains and dissolves groups. It is a state
// machine: Step takes the time and one event and returns the effects that
// the embedding program has to carry out. Neither type does I/O, reads a clock or
// starts a goroutine, and neither may be called concurrently.
package group
