package entry

import "runtime/debug"

// Memory is billed by its peak, and collecting a heap of a few megabytes takes little CPU time, so the
// garbage collector runs more often than by default.
const (
	// gcPercent is the growth of the heap since the last collection that starts the next one, in percent.
	gcPercent = 50
	// memoryLimitPercent is the soft memory limit of the Go runtime as a percentage of the VM's memory;
	// close to it the garbage collector runs more often.
	memoryLimitPercent = 70
)

// limitMemory sets up the garbage collector for a VM with the given memory.
func limitMemory(mb int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitPercent / 100)
}
