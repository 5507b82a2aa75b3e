// Package watch follows what operators and endpoint VMs publish on the
// platform, and knows how old its knowledge is.
package watch
