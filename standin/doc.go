// Package standin holds small stand-ins of the systems around crocusstile, for tests and the
// demonstration: a model runner, a plain service, the platform's log, its list of VMs, its weight
// store, and a TCP proxy that injects network faults.
//
// They speak the protocols of sections 4.4 and 4.5 of docs/design.md. Each is an http.Handler whose
// state belongs to the goroutine that calls Run; Serve runs both on a listener. Addresses under
// /standin/ set faults at run time and give a checker what happened.
package standin
