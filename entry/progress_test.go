package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// startWithWindow starts a VM at which a client must move 1 KB within half a second.
func startWithWindow(t *testing.T) (*cluster, *entryVM) {
	s := newCluster(t)
	s.store.Put("keyed.op", "config", []byte(clientsCatalog))
	s.store.Put("keyed.servers", "i-app", []byte(
		`{"service":"app","address":"`+serve(s.C, http.HandlerFunc(sizedRunner))+`","zone":"a","slots":64,"state":"ready","born":2}`))
	m := s.prepare("vm-1")
	settings, err := os.ReadFile(m.settings)
	s.Assert(err, qt.IsNil)
	limited := strings.Replace(string(settings), `"memoryMB":164`, `"memoryMB":164,"clients":{"window":"500ms","progressBytes":1024}`, 1)
	s.Assert(os.WriteFile(m.settings, []byte(limited), 0o600), qt.IsNil)
	s.run(m)
	s.eventually(func() bool { return readyStatus(m.readyAddr) == http.StatusOK })
	return s, m
}

// sendBody sends a request whose body arrives in pieces, and returns the status of its response.
func (s *cluster) sendBody(m *entryVM, piece, count int, pause time.Duration) int {
	conn, err := net.Dial("tcp4", m.callersAddr)
	s.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	s.Assert(conn.SetDeadline(time.Now().Add(answerTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, "POST /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: body\r\nContent-Length: "+strconv.Itoa(piece*count)+"\r\n\r\n")
	s.Assert(err, qt.IsNil)
	responded := make(chan answer, 1)
	go func() { responded <- readAnswer(conn) }()
	for range count {
		if _, err := conn.Write(zeros[:piece]); err != nil {
			break
		}
		select {
		case a := <-responded:
			return a.status
		case <-time.After(pause):
		}
	}
	return (<-responded).status
}

// Guards against a body that trickles in and is never ended, and against a slow but sound one that is. The refusal promises
// that the request has not run.
func TestTricklingBodyIsEnded(t *testing.T) {
	s, m := startWithWindow(t)
	s.Check(s.sendBody(m, 1, 4000, 20*time.Millisecond), qt.Equals, http.StatusRequestTimeout)
	s.Check(s.sendBody(m, 512, 60, 50*time.Millisecond), qt.Equals, http.StatusOK)
}

// Guards against a response that is held for a reader that has stopped, and against a slow but sound reader that is cut off.
func TestStalledReaderIsEnded(t *testing.T) {
	s, m := startWithWindow(t)
	stalled, sound := s.openReader(m), s.openReader(m)
	in := bufio.NewReaderSize(sound, 16)
	resp, err := http.ReadResponse(in, nil)
	s.Assert(err, qt.IsNil)
	read, piece := 0, make([]byte, 16<<10)
	for err == nil {
		var n int
		n, err = io.ReadFull(resp.Body, piece)
		read += n
		time.Sleep(10 * time.Millisecond)
	}
	s.Check(read, qt.Equals, largeAnswer, qt.Commentf("%v", err))
	s.eventually(func() bool { return s.connectionEnded(stalled) })
}

// connectionEnded reports whether the other side has reset a connection.
func (s *cluster) connectionEnded(conn net.Conn) bool {
	const stateClosed = 7 // TCP_CLOSE in net/tcp_states.h of Linux
	raw, err := conn.(*net.TCPConn).SyscallConn()
	s.Assert(err, qt.IsNil)
	ended := false
	s.Assert(raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == stateClosed
	}), qt.IsNil)
	return ended
}

// openReader sends a request for a large response on a connection that can take little of it.
func (s *cluster) openReader(m *entryVM) net.Conn {
	conn, err := net.Dial("tcp4", m.callersAddr)
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = conn.Close() })
	s.Assert(conn.(*net.TCPConn).SetReadBuffer(32<<10), qt.IsNil)
	s.Assert(conn.SetDeadline(time.Now().Add(answerTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, "POST /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: reader\r\n"+headerAnswerBytes+": "+strconv.Itoa(largeAnswer)+
		"\r\nContent-Length: 6\r\n\r\nprompt")
	s.Assert(err, qt.IsNil)
	return conn
}
