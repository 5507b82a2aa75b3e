// Package replica decides which endpoint VMs form the groups that run a
// service's models, on engines that take orders by epoch and keep staged
// weights on their hosts.
//
// A Planner runs on the node that holds the lease. Each tick, its systems run
// over the tables of VMs and groups and return the orders to send. What VMs
// report decides; an order that was sent proves nothing until a report shows
// its effect. The Planner does no I/O, reads no clock and starts no goroutine.
//
// What it keeps, whatever is lost, late or repeated:
//
//   - A head is told to serve only after each member was seen ready under the
//     group's name and epoch.
//   - A VM is told to join another group only once the head of its group
//     reports that it doesn't serve, has started again, or has stood still,
//     without a member, for long enough to have given up.
//   - Each order names the number of orders that the VM had accepted, so that
//     a late one can't take effect after a newer one.
package replica
