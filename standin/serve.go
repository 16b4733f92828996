package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	rungroup "github.com/oklog/run"
)

// StandIn is a simulated system that Serve can run.
type StandIn interface {
	http.Handler
	// Run owns the state until ctx ends and is called once. Requests that need the state block until it
	// is called.
	Run(ctx context.Context) error
}

// headerReadTimeout limits the time that a client may take to send the header of a request.
const headerReadTimeout = 10 * time.Second

// Serve runs a stand-in on the listener until ctx ends, then closes all connections. It returns nil
// after the end of ctx, ErrCrashed if a runner crashed, or the error of the listener.
func Serve(ctx context.Context, ln net.Listener, s StandIn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerReadTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	var group rungroup.Group
	group.Add(func() error { return s.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return server.Serve(ln) }, func(error) { _ = server.Close() })
	if err := group.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
