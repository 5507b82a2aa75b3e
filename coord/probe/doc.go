// Package probe distributes the probing of a data centre's VMs over its live
// entry VMs and shares the results between them.
//
// Each VM has two probers. The first one probes it. The second one gets the
// results from the first and probes the VM itself while the first does not
// answer. Results are pulled from a prober: changed rows are sent in full, and
// all unchanged ones are covered by a single age. The time that a follower
// assigns to a report is never later than the time at which the probe was sent,
// whatever messages are lost, delayed or reordered and whatever the clocks show.
// This holds because the follower subtracts the age from the time at which it
// sent its pull, which is before the prober computed that age.
package probe
