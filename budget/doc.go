// Package budget bounds what the clients of a VM make it hold: bytes of request bodies, of header fields and of responses that
// wait for a reader, and connections. At a limit it stops the clients that hold most for longest without progress, makes
// others wait and refuses what still has no room. The rules are functions of tables, the time and the actions that they append;
// Budget carries them out for the goroutines that serve connections.
package budget
