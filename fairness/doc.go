// Package fairness orders work of workspaces by start-time fair queueing. Its functions decide from their arguments alone: they do no
// I/O, and the package keeps no state of its own.
package fairness
