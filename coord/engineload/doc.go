// Package engineload predicts the times of an engine, which runs a model on a
// group of VMs, from the figures that the configuration states of it.
//
// An engine works in passes. A pass that includes requests which are being
// answered runs a fixed number of token steps. Prompts are read in the same
// steps, a bounded number of tokens in each, and what is read lengthens the step
// for all requests. A pass gives each request that is being answered one event.
//
// The functions are pure. The times are means; they hold no margin and no time
// that the figures don't state, such as that of the network. Memory for tokens is
// not taken into account.
package engineload
