// Package catalog contains the configuration in force: routes by host and path
// prefix, the services behind them, client accounts with their keys, and limits
// on what callers may send.
//
// A Catalog is immutable once built, so any number of requests may use it
// while a newer one replaces it.
package catalog
