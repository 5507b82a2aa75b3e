// Package updates defines the updates of platform data that entry VMs exchange.
// In each data centre one node reads from the platform and the others ask that
// node, so that the number of platform calls does not grow with the number of
// nodes.
//
// A Record at version V contains the effect of every change up to V, from
// whichever source it was received. All versions come from one counter of the
// platform, so that a node can continue from its version at any other node or
// at the platform.
package updates
