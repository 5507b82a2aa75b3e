// Package admit decides which requests may start, which are queued and which are
// refused immediately.
//
// A request needs a unit of its client account's limit, which package budget
// divides among all entry VMs, and a slot at an endpoint. Requests that lack
// either wait in a bounded queue per target, ordered by priority, then by
// weighted fairness between accounts, then by deadline. A request is refused as
// soon as its estimated start is too late for its deadline, rather than held
// until the deadline passes, and the refusal says when to retry.
package admit
