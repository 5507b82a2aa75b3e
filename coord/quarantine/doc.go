// Package quarantine keeps inputs that end endpoints (queries of death) away from
// them. It compares the requests that endpoints were about to answer when they
// ended, and names what these share: a part of their prompts, or the request itself
// if it is the same one that comes again.
package quarantine
