// Package forward passes online requests to runners as they came and their answers back.
//
// The systems Admit, Settle and Dispatch decide where a request goes, how often it is sent and when
// it is refused. Traffic carries the bytes: one session for each request, on the goroutine that
// serves the caller.
package forward
