// Package replica decides which endpoint VMs form the groups that run a
// service's models. It is meant for engines that follow epoch-numbered orders
// and keep staged weights on their hosts.
//
// A Planner runs on the node that holds the lease. Each Tick examines the
// tables of VMs and groups and returns the orders to send. Decisions are based
// on what VMs report: an order that was sent counts for nothing until a report
// shows its effect. The Planner does no I/O, reads no clock and starts no
// goroutine.
//
// Spares wait with a model's weights in their accelerators: each is the only
// member of a standby group, which never serves.
//
// Each model gets groups for its share of the work: the configured one, or, with
// SetFollowDemand, the one that its load needs. A model keeps the groups for its
// peak load and gets others for its mean load, and only groups whose hosts have the
// weights change their model.
//
// It maintains these invariants even if messages are lost, delayed or repeated:
//
//   - A head is told to serve only after every member was seen ready under the
//     group's name and epoch.
//   - A VM is told to join another group only once the head of its group
//     reports that it is not serving, has restarted, or has stalled without a
//     member for long enough to have given up.
//   - Each order states how many orders the VM had accepted before it, so that
//     a delayed order cannot take effect after a newer one.
package replica
