// Package dispatch chooses the endpoint of each request: a plain server or
// the head of a group, by the work that it is predicted to have.
//
// A Table follows the VMs that the node knows. It counts this node's own
// requests, adds what endpoints report of everybody's, and refuses at once
// what no endpoint can start in time. It also divides what the nodes share
// without asking each other: the rate that a cold endpoint bears and the
// budget of repeats are split evenly over the live nodes.
//
// A Table does no I/O, reads no clock and is not safe for concurrent use.
package dispatch
