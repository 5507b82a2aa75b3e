// Package probe divides the probing of a data centre's VMs over its live
// entry VMs and passes on what they have seen.
//
// Each VM has two probers. The first one probes it; the second one hears of it
// from the first and probes it itself while the first is silent. What a
// prober has seen is pulled from it: changed rows come in full, all others as
// one age. The time of a report is never later than the time at which its
// probe was sent, whatever is lost, late or crossed and whatever the clocks
// show, because a follower counts the age back from the sending of its pull,
// which is before the prober stated that age.
package probe
