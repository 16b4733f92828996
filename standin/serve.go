package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	rungroup "github.com/oklog/run"
)

// StandIn is a stand-in that Serve can run.
type StandIn interface {
	http.Handler
	// Run owns the stand-in's state until ctx ends; it is called once. Requests wait for it.
	Run(ctx context.Context) error
}

// headerTimeout bounds how long a client may take to send a request's header.
const headerReadTimeout = 10 * time.Second

// Serve runs the stand-in on the listener until ctx ends, then closes all connections. It returns
// nil after the end of ctx, ErrCrashed if a runner crashed, and other errors from the listener.
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
