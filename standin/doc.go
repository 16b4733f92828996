// Package standin holds stand-ins that simulate the systems around crocusstile, for tests and the
// demonstration: a model runner, a plain service, the platform's log, its list of registered VMs, its
// metadata store, its weight store, and a TCP proxy that injects network faults.
//
// The stand-ins implement the protocols of sections 4.4 and 4.5 of docs/design.md. Those that
// satisfy StandIn are http.Handlers whose state is owned by the goroutine that calls Run; Serve runs
// both on a listener. Endpoints under /standin/ set faults at run time and return the recorded events
// to a checker. Store and Endpoint are plain http.Handlers that guard their state with a mutex; they
// implement the protocols of the hosting platform, see package platform.
package standin
