package entry_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a VM that answers readiness checks before it accepts the connections of callers, whose requests are then
// refused.
func TestCallersCanConnectOnceVMAnswersReadinessChecks(t *testing.T) {
	const starts = 60
	s := newCluster(t)
	refused := 0
	for i := range starts {
		m := s.prepare(fmt.Sprint("vm-", i))
		ctx, cancel := context.WithCancel(context.Background())
		connected := make(chan error, 1)
		go func() { connected <- connectOnceReadinessIsAnswered(ctx, m) }()
		s.run(m)
		select {
		case err := <-connected:
			if err != nil {
				refused++
			}
		case err := <-m.runErr:
			s.Fatalf("start %d: the VM has ended: %v", i, err)
		case <-time.After(10 * time.Second):
			s.Fatalf("start %d: the VM answers no readiness checks", i)
		}
		cancel()
		m.stop()
		s.Assert(<-m.runErr, qt.IsNil)
		m.runErr = nil // read already
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
