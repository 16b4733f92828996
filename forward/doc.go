// Package forward forwards online requests to runners unchanged and passes the responses back.
//
// The systems Admit, ApplyOutcomes and Dispatch run in the control loop. They decide which runner
// gets a request, how often it is sent and when it is refused. Traffic carries the bytes, with one
// session per request on the goroutine that serves the caller.
package forward
