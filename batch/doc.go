// Package batch implements the batch sender of a runner. It offers the slots that online requests
// leave free to the owners of shards with waiting items, runs the items that they grant, and stops
// batch runs at once when online requests need the slots.
package batch
