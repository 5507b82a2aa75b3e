// Package capacity works out what each role of the system costs at a size,
// from slopes that its tests measure on the project's own state machines and
// encodings, and prints the result as a page.
package capacity
