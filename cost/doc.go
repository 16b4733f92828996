// Package cost estimates how much work a request causes and how long a runner takes for it, from what responses have shown. It does no
// I/O. A unit of work is an event of a stream, or a response that is no stream.
package cost
