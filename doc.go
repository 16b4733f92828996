// Package crocusstile holds the core types of the serving system: time, ids, units, requests,
// jobs, tickets, log records and the messages between VMs.
//
// The package does no I/O. The decision logic is in the sibling packages (membership, routing, limit,
// job and others), which run as systems over the tables of package fleet.
package crocusstile
