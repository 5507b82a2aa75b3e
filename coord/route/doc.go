// Package route chooses where a request is served: at an endpoint that this
// node holds a share of, through a home node of its own data centre, or in
// another data centre, in this order.
//
// A Table follows endpoints, peer nodes and remote data centres by events.
// Each target (a model or a service) keeps the candidates that can take one
// more request in sets from which Pick samples a fixed number, so the cost of
// a decision does not depend on how many endpoints there are.
package route
