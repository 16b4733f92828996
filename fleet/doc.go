// Package fleet holds the tables of a VM's control state, the events that change them and the
// actions that follow.
//
// One goroutine (package control) owns the tables. At each tick it puts the events that have
// arrived into Tables.Events and runs the systems in a fixed order. A System reads the events that
// concern it, walks its tables, writes rows and appends actions; it does no I/O, reads no clock and
// keeps no reference to a row beyond its call.
package fleet

import "github.com/crocusstile/crocusstile"

// System is one step of a tick.
type System func(t *Tables, now crocusstile.Instant, out *Actions)
