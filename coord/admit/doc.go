// Package admit decides which requests may start, which wait and which are
// refused at once.
//
// A request needs a unit of its client account's limit, which is divided over
// all entry VMs by package budget, and a place at an endpoint. Requests that
// lack one wait in a bounded queue per target, ordered by priority, then by
// weighted fairness between accounts, then by deadline. A request is refused
// as soon as its estimated start is too late for its deadline, never held
// until the deadline passes, and the refusal says when to come back.
package admit
