// Package route chooses where a request is served. In order of preference this is
// an endpoint in which this node has a share, a home node of its own data
// centre, or another data centre.
//
// A Table is updated by events about endpoints, peer nodes and remote data
// centres. Each target (a model or a service) keeps the candidates that can
// take another request in pools. Pick samples a fixed number of them, so the
// cost of a decision does not depend on the number of endpoints.
package route
