// Package fairness divides capacity between workspaces. Its functions decide from their arguments alone: they do no I/O, and the
// package keeps no state of its own.
package fairness
