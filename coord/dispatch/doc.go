// Package dispatch chooses the endpoint for each request, a plain server or
// the head of a group, by its predicted load.
//
// A Table tracks the VMs known to the node. It combines the count of this
// node's own requests with the total load that endpoints report, and refuses
// a request immediately if no endpoint can start it in time. Limits shared by
// all nodes are enforced without coordination: the request rate of a cold
// endpoint and the repeat budget are split evenly among the live nodes.
//
// A Table does no I/O, reads no clock and is not safe for concurrent use.
package dispatch
