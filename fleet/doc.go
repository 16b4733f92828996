// Package fleet defines the tables that hold a VM's control state, the events that the systems
// process and the actions that they request.
//
// One goroutine (package control) owns the tables. On each tick it stores the events received since
// the last one in Tables.Events and runs the systems in a fixed order. A System reads the events it
// handles, iterates over its tables, writes rows and appends actions. It does no I/O, reads no
// clock and keeps no reference to a row after it returns.
package fleet

import "github.com/crocusstile/crocusstile"

// System is one step of a tick: it updates the tables for the time now and appends actions to out.
type System func(t *Tables, now crocusstile.Instant, out *Actions)
