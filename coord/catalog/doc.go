// Package catalog holds what operators have put in force: routes by host and
// path prefix, the services behind them, client accounts with their keys, and
// limits of what callers may send.
//
// A Catalog is immutable once built, so that any number of requests may use
// it while a newer one takes its place.
package catalog
