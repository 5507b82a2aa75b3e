// Package group decides which VMs of one data centre form the groups that
// serve models, and whether a group is whole, that is, able to serve.
//
// The group, generation, model and rank that are assigned to a VM are its
// place. A group may get work only while it is whole: the fresh report of each
// of its members is Ready and names the member's place. Reports, which runs on
// every node that routes requests, tells whether this is so.
//
// Manager runs on the node that holds the coordinator lease of the data
// centre. It assembles, repairs, drains and dissolves groups. It is a state
// machine: Step takes the time and one event and returns the effects that
// the embedding program has to carry out. Neither type does I/O, reads a clock or
// starts a goroutine, and neither may be called concurrently.
package group
