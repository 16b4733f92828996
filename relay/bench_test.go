package relay_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
)

// The load of BenchmarkRelay: 1200 streams with a token every 33 ms each make 36,000 tokens per second,
// the target of one daemon.
const (
	benchStreams       = 1200
	benchTokens        = 60
	benchTokenInterval = 33 * time.Millisecond
	benchSendGroups    = 10
	// loadEnv names the environment variable with the number of streams, set in the child process that
	// acts as the runners and the callers.
	loadEnv = "CROCUSSTILE_RELAY_LOAD"
)

func TestMain(m *testing.M) {
	if streams, err := strconv.Atoi(os.Getenv(loadEnv)); err == nil {
		runLoad(streams)
		return
	}
	os.Exit(m.Run())
}

// BenchmarkRelay reports the number of cores that this process uses to relay 36,000 tokens per second,
// each in its own packet. Runners and callers run in another process.
func BenchmarkRelay(b *testing.B) { measureRelay(b, benchStreams) }

// BenchmarkCapacityRelay reports the same for several token rates; each stream has 30 tokens per
// second.
func BenchmarkCapacityRelay(b *testing.B) {
	for _, n := range []int{300, 600, benchStreams} {
		b.Run(fmt.Sprint("streams=", n), func(b *testing.B) { measureRelay(b, n) })
	}
}

func measureRelay(b *testing.B, streams int) {
	child := exec.Command(os.Args[0], "-test.run=^$")
	child.Env = append(os.Environ(), loadEnv+"="+strconv.Itoa(streams))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	qt.Assert(b, err, qt.IsNil)
	out, err := child.StdoutPipe()
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, child.Start(), qt.IsNil)
	b.Cleanup(func() { _ = in.Close(); _ = child.Wait() })
	lines := bufio.NewScanner(out)
	lines.Scan()
	h := newHarness(b, cs.Address(lines.Text()))
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := h.relay.Stream(r.Context(), h.request(benchTokens))
		if err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
		defer body.Close()
		_, _ = body.(io.WriterTo).WriteTo(rw)
	}))
	b.Cleanup(server.Close)
	var started time.Time
	var cpu time.Duration
	for b.Loop() {
		fmt.Fprintln(in, server.Listener.Addr())
		lines.Scan() // all streams are open
		started, cpu = time.Now(), cpuTime(b)
		lines.Scan()
		qt.Assert(b, lines.Text(), qt.Equals, strconv.Itoa(streams*benchTokens))
	}
	took := time.Since(started)
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(took), "cores")
	b.ReportMetric(float64(streams*benchTokens)/took.Seconds(), "tokens/s")
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(streams*benchTokens), "cpu-ns/token")
}

// cpuTime returns the user and system time of this process.
func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runLoad acts as runner and caller: for each address on standard input it opens all streams there,
// sends their tokens at the given rate and prints how many the callers received.
func runLoad(streams int) {
	var mu sync.Mutex
	var open []*benchStream
	ready := make(chan struct{}, streams)
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil || r.URL.Path != "/v1/generate" {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		mu.Lock()
		open = append(open, &benchStream{conn: conn, id: body.ID})
		mu.Unlock()
		ready <- struct{}{}
	}))
	fmt.Println(source.Listener.Addr())
	for in := bufio.NewScanner(os.Stdin); in.Scan(); open = nil {
		var callers sync.WaitGroup
		var tokens atomic.Int64
		for range streams {
			callers.Go(func() { tokens.Add(readStream(in.Text())) })
		}
		for range streams {
			<-ready
		}
		fmt.Println("open")
		due := time.Now()
		for range benchTokens {
			for g := range benchSendGroups {
				for i := g; i < len(open); i += benchSendGroups {
					open[i].sendToken()
				}
				due = due.Add(benchTokenInterval / benchSendGroups)
				time.Sleep(time.Until(due))
			}
		}
		for _, s := range open {
			s.end()
		}
		callers.Wait()
		fmt.Println(tokens.Load())
	}
}

// benchStream is the runner's end of a stream.
type benchStream struct {
	conn net.Conn
	id   string
	n    int
}

func (s *benchStream) sendToken() {
	s.n++
	s.writeChunk(fmt.Sprintf("data: {\"id\":%q,\"n\":%d,\"text\":\" token%d\"}\n\n", s.id, s.n, s.n))
}

func (s *benchStream) end() {
	s.writeChunk(fmt.Sprintf("data: {\"id\":%q,\"done\":true,\"tokens\":%d}\n\n", s.id, s.n))
	_, _ = io.WriteString(s.conn, "0\r\n\r\n")
	_ = s.conn.Close()
}

func (s *benchStream) writeChunk(event string) {
	_, _ = fmt.Fprintf(s.conn, "%x\r\n%s\r\n", len(event), event)
}

// readStream requests a stream and returns the number of tokens received.
func readStream(address string) (n int64) {
	resp, err := http.Get("http://" + address)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.Contains(lines.Text(), `"n":`) {
			n++
		}
	}
	return n
}
