// Command pimentoshored is a placeholder until its packages land.
package main

func main() {}
