// Command paired compares working trees of the project on a bench that is
// given on the command line.
//
// It plays the same days with the same seeds on each tree and prints, for each
// figure of the bench's reports, the means and the paired difference of every
// tree from the first one, with the standard error of its mean. One run says
// little: a day's figures differ more from seed to seed than most changes
// move them.
//
// A plan file names the deployments, their days and the seeds:
//
//	seeds = [5, 6, 7, 8]
//	[[deployment]]
//	file = "further/wabcso-cordline.toml"
//	days = ["trouble-1", "scale-1"]
package main
