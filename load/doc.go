// Package load drives real daemons before stand-in runners with an open-loop load and compares the
// policy with its baselines in one run.
package load
