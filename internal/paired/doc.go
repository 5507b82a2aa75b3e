// Command paired compares working trees of the project with a bench program that
// is named on the command line.
//
// It runs the same days with the same seeds on each tree. For each metric of the
// bench's reports it prints the mean of each tree and the mean paired difference
// between each further tree and the first, with its standard error. A single run
// is not enough, because the metrics of a day differ more between seeds than most
// changes affect them.
//
// A plan file lists the deployments, their days and the seeds:
//
//	seeds = [5, 6, 7, 8]
//	[[deployment]]
//	file = "further/wabcso-cordline.toml"
//	days = ["trouble-1", "scale-1"]
package main
