// Package gateway defines the control state of an entry VM: the tables, the events that come in, the
// actions that go out, and the read-only view that is published to the goroutines that carry traffic.
//
// The systems that run over the tables each tick are in packages roster (catalog, runners and peers),
// forward (online requests) and batchjob (batch jobs). Package platform translates between these types and
// the protocols of the platform on which the VM is deployed.
package gateway
