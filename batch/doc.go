// Package batch is the batch sender of a runner: it offers the slots that online requests leave free
// to the owners of shards with waiting items, runs what they grant, and gives slots back at once when
// online requests need them.
package batch
