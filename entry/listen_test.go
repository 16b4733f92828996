package entry_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// Guards against a VM that answers readiness checks before it accepts the connections of callers, whose requests are then
// refused.
func TestCallersCanConnectOnceVMAnswersReadinessChecks(t *testing.T) {
	const starts = 60
	s := newCluster(t)
	refused := 0
	for done := 0; done < starts; {
		m := s.prepare(fmt.Sprint("vm-", done))
		ctx, cancel := context.WithCancel(context.Background())
		connected := make(chan error, 1)
		go func() { connected <- connectOnceReadinessIsAnswered(ctx, m) }()
		s.run(m)
		var runErr error
		select {
		case err := <-connected:
			if err != nil {
				refused++
			}
			m.stop()
			runErr = <-m.runErr
			done++
		case runErr = <-m.runErr:
			if errors.Is(runErr, syscall.EADDRINUSE) {
				runErr = nil // another process has taken a port since it was picked
			}
		case <-time.After(10 * time.Second):
			cancel()
			s.Fatal("the VM answers no readiness checks")
		}
		cancel()
		m.runErr = nil // read already
		s.Assert(runErr, qt.IsNil)
	}
	s.Check(refused, qt.Equals, 0, qt.Commentf("of %d starts", starts))
}

// connectOnceReadinessIsAnswered connects to a VM as a caller as soon as it accepts a connection for a readiness check.
func connectOnceReadinessIsAnswered(ctx context.Context, m *entryVM) error {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp4", m.readyAddr)
		if err != nil {
			time.Sleep(20 * time.Microsecond)
			continue
		}
		_ = conn.Close() // only the connection matters
		if conn, err = net.Dial("tcp4", m.callersAddr); err == nil {
			_ = conn.Close()
		}
		return err
	}
	return ctx.Err()
}
