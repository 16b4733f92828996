// Package load measures daemons that run as processes with stand-in runners. It sends them an
// open-loop load and compares the scheduling policy with its baselines in the same run.
package load
