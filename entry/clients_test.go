package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/crocusstile/crocusstile/standin"
)

// Limits of the VM in the tests of clients that do not behave, and the bounds that follow from them.
const (
	clientsMemoryMB       = 96
	clientsMaxDescriptors = 400
	// clientsMaxResidentKB bounds the peak of the resident memory, and clientsMaxDescriptors the descriptors.
	clientsMaxResidentKB = clientsMemoryMB << 10
)

// Sizes of the loads. They exceed what the VM may hold.
const (
	bodyClients       = 60
	fieldClients      = 360
	readerClients     = 300
	connectionClients = 600
	legalBody         = 4 << 20
	legalHeader       = 16 << 10
	bytesOverLimit    = 16 << 20
	bytesSentAhead    = 2 << 20
	largeAnswer       = 1_000_000
)

// Times of the tests. None is a check: they end clients that the VM does not read from and waits that would not end.
const (
	writeTimeout  = 2 * time.Second
	trickleTime   = 2 * time.Second
	tricklePause  = 50 * time.Millisecond
	loadTimeout   = 30 * time.Second
	answerTimeout = 60 * time.Second
	samplePause   = 5 * time.Millisecond
)

const clientsCatalog = `{"version":1,"routes":[
{"name":"fetch","host":"h.example","path_prefix":"/fetch/","kind":"idempotent","timeout_ms":60000,"target_latency_ms":400,"service":"app","max_attempts":3},
{"name":"mark","host":"h.example","path_prefix":"/mark/","kind":"batch","timeout_ms":60000,"target_latency_ms":400,"service":"app","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":100000}],
"services":[{"name":"app"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// headerAnswerBytes asks a sizedRunner for the size of its answer.
const headerAnswerBytes = "Answer-Bytes"

// sizedRunner is a runner that reads a request to its end and responds with as many bytes as the request asks for.
func sizedRunner(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	size, _ := strconv.Atoi(r.Header.Get(headerAnswerBytes)) // 0 without the header
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "sig")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size)) // fails only if the VM has disconnected
}

// buildEntryd builds the program once for all tests and returns its path.
var buildEntryd = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crocusstile-entryd")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "crocusstile-entryd")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/crocusstile-entryd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return program, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if program, err := buildEntryd(); err == nil {
		_ = os.RemoveAll(filepath.Dir(program)) // a directory that is left does no harm
	}
	os.Exit(code)
}

// entrydProcess is a process of the program, with what it has held at most.
type entrydProcess struct {
	*cluster
	*entryVM
	pid            int
	exited         chan struct{}
	stopSampling   func()
	maxDescriptors int
}

// startEntryd starts the program with the limits of these tests until the test ends, and waits until it is ready.
func startEntryd(t *testing.T) *entrydProcess {
	c := qt.New(t)
	program, err := buildEntryd()
	c.Assert(err, qt.IsNil)
	s := &cluster{C: c, store: standin.NewStore(), dir: t.TempDir()}
	s.storeAddr = serve(c, s.store)
	c.Cleanup(s.store.Close)
	s.store.Put("keyed.op", "config", []byte(clientsCatalog))
	s.store.Put("keyed.servers", "i-app", fmt.Appendf(nil,
		`{"service":"app","address":%q,"zone":"a","slots":64,"state":"ready","born":1}`, serve(c, http.HandlerFunc(sizedRunner))))
	p := &entrydProcess{cluster: s, entryVM: s.prepare("vm-1"), exited: make(chan struct{})}
	settings, err := os.ReadFile(p.settings)
	c.Assert(err, qt.IsNil)
	limited := strings.Replace(string(settings), `"memoryMB":164`,
		fmt.Sprintf(`"memoryMB":%d,"maxDescriptors":%d`, clientsMemoryMB, clientsMaxDescriptors), 1)
	c.Assert(os.WriteFile(p.settings, []byte(limited), 0o600), qt.IsNil)
	cmd := exec.Command(program, "-settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	c.Assert(cmd.Start(), qt.IsNil)
	p.pid = cmd.Process.Pid
	go func() {
		_ = cmd.Wait() // the test kills it
		close(p.exited)
	}()
	c.Cleanup(func() {
		_ = cmd.Process.Kill() // fails only if it has exited
		<-p.exited
	})
	s.eventually(func() bool { return readyStatus(p.readyAddr) == http.StatusOK })
	p.sample()
	return p
}

// sample follows the number of open descriptors until stopSampling is called.
func (p *entrydProcess) sample() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.stopSampling = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	p.Cleanup(p.stopSampling)
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
				p.maxDescriptors = max(p.maxDescriptors, len(open))
			}
			time.Sleep(samplePause)
		}
	}()
}

// statusKB returns a value of /proc/PID/status in kilobytes.
func (p *entrydProcess) statusKB(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	p.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(status), "\n"+name+":")
	if !found {
		return 0 // the process has ended
	}
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	p.Assert(err, qt.IsNil)
	return kb
}

// alive reports whether the process has not ended.
func (p *entrydProcess) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// answersOrdinaryRequest reports whether a caller that repeats a refused request gets it answered.
func (p *entrydProcess) answersOrdinaryRequest() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for begin := time.Now(); p.alive() && time.Since(begin) < answerTimeout; time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+p.callersAddr+"/fetch/ordinary", strings.NewReader("prompt"))
		p.Assert(err, qt.IsNil)
		req.Host = "h.example"
		req.Header.Set("Request-Id", "ordinary")
		req.Header.Set("Deadline-Ms", "4000")
		req.Header.Set(headerAnswerBytes, "100")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(body) == 100 {
			return true
		}
	}
	return false
}

// answersReadinessCheck reports whether a readiness check that is repeated is answered.
func (p *entrydProcess) answersReadinessCheck() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for begin := time.Now(); p.alive() && time.Since(begin) < answerTimeout; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.readyAddr + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// clientTarget is where clients send their requests.
type clientTarget struct {
	address string
	// start is the request line and the headers that each request has.
	start string
}

// client is one connection of a client that does not behave.
type client struct {
	net.Conn
	target clientTarget
	index  int
	// ctx ends with the test.
	ctx context.Context
}

// send writes bytes and reports whether the VM has taken them in time.
func (c *client) send(p []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
	_, err := c.Write(p)
	return err == nil
}

// sendString is send for a string.
func (c *client) sendString(s string) bool { return c.send([]byte(s)) }

// sendRepeated writes bytes over and over until total bytes are written or the VM takes no more.
func (c *client) sendRepeated(p []byte, total int) {
	for sent := 0; sent < total; sent += len(p) {
		if !c.send(p[:min(len(p), total-sent)]) {
			return
		}
	}
}

// clientLoad is a kind of client load.
type clientLoad struct {
	name    string
	clients int
	// receiveBuffer is the size of the client's receive buffer in bytes; 0 leaves it as it is.
	receiveBuffer int
	// run sends what the client sends. The connection stays open until the test ends.
	run func(c *client)
}

var zeros = make([]byte, legalBody)

// clientLoads are the kinds of client loads. The VM has to hold or to refuse what they send.
var clientLoads = []clientLoad{
	{name: "stalled bodies in one piece", clients: bodyClients, run: func(c *client) {
		if c.sendString(c.target.start + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)) {
			c.send(zeros[:legalBody-1])
		}
	}},
	{name: "whole bodies at once", clients: bodyClients, run: func(c *client) {
		if c.sendString(c.target.start+fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)) && c.send(zeros) {
			_ = c.SetReadDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
			_, _ = c.Read(make([]byte, 1))                      // only the request matters
		}
	}},
	{name: "stalled bodies in small pieces", clients: bodyClients, run: func(c *client) {
		if c.sendString(c.target.start + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)) {
			c.sendRepeated(zeros[:4<<10], legalBody-1)
		}
	}},
	{name: "stalled bodies in chunks", clients: bodyClients, run: func(c *client) {
		if c.sendString(c.target.start + "Transfer-Encoding: chunked\r\n\r\n") {
			chunks := strings.Repeat(chunk(string(zeros[:1<<10])), 16)
			c.sendRepeated([]byte(chunks), legalBody/(16<<10)*len(chunks)-1)
		}
	}},
	{name: "oversized bodies", clients: bodyClients, run: func(c *client) {
		if c.index%2 == 0 {
			c.sendString(c.target.start + "Content-Length: 1000000000\r\n\r\n")
			c.sendRepeated(zeros[:64<<10], bytesOverLimit)
			return
		}
		c.sendString(c.target.start + "Transfer-Encoding: chunked\r\n\r\n")
		c.sendRepeated([]byte(chunk(string(zeros[:64<<10]))), bytesOverLimit)
	}},
	{name: "many short fields", clients: fieldClients, run: func(c *client) {
		c.sendString(c.target.start + "Content-Length: 100\r\n" + shortFields(legalHeader-len(c.target.start)-23) + "\r\n0123456789")
	}},
	{name: "many short fields over the limit", clients: bodyClients, run: func(c *client) {
		c.sendString(c.target.start + "Content-Length: 100\r\n" + shortFields(900<<10) + "\r\n0123456789")
	}},
	{name: "requests sent ahead", clients: readerClients, receiveBuffer: 4 << 10, run: func(c *client) {
		request := c.target.start + headerAnswerBytes + ": " + strconv.Itoa(largeAnswer) + "\r\nContent-Length: 6\r\n\r\nprompt"
		c.sendRepeated([]byte(strings.Repeat(request, 50)), bytesSentAhead)
	}},
	{name: "slow senders", clients: connectionClients, run: func(c *client) {
		if c.index%2 == 0 {
			c.sendString(c.target.start + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody))
		} else {
			c.sendString(c.target.start + "Slow: ")
		}
		go c.trickle(func() bool { return c.sendString("0") })
		time.Sleep(trickleTime)
	}},
	{name: "slow readers", clients: readerClients, receiveBuffer: 4 << 10, run: func(c *client) {
		c.sendString(c.target.start + headerAnswerBytes + ": " + strconv.Itoa(largeAnswer) + "\r\nContent-Length: 6\r\n\r\nprompt")
		go c.trickle(func() bool {
			_, err := c.Read(make([]byte, 1))
			return err == nil
		})
		time.Sleep(trickleTime)
	}},
	{name: "half-way stops", clients: connectionClients, run: func(c *client) {
		parts := []string{
			"", "POST /fe", c.target.start, c.target.start + "Content-Length: 100000\r\n\r\n", c.target.start + "Content-Length: 6\r\n\r\npro",
			c.target.start + "Content-Length: 6\r\n\r\nprompt",
		}
		c.sendString(parts[c.index%len(parts)])
	}},
}

// trickle takes a step from time to time until the test ends or the VM closes the connection.
func (c *client) trickle(step func() bool) {
	for c.ctx.Err() == nil && step() {
		time.Sleep(tricklePause)
	}
}

// shortFields returns as many header fields of six bytes with names of their own as total bytes have room for.
func shortFields(total int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+6 <= total; i++ {
		n := i
		for range 3 {
			b.WriteByte(letters[n%len(letters)])
			n /= len(letters)
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// apply runs the clients of a load and returns when each has sent what the VM takes of it. The connections stay open until the
// test ends.
func (p *entrydProcess) apply(load clientLoad, target clientTarget) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range load.clients {
		conn, err := net.DialTimeout("tcp4", target.address, writeTimeout)
		if err != nil {
			continue // the VM takes no more connections
		}
		p.Cleanup(func() { _ = conn.Close() })
		if load.receiveBuffer > 0 {
			p.Assert(conn.(*net.TCPConn).SetReadBuffer(load.receiveBuffer), qt.IsNil)
		}
		clients.Go(func() { load.run(&client{Conn: conn, target: target, index: i, ctx: ctx}) })
	}
	p.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(loadTimeout):
		p.Fatal("the clients do not end")
	}
}

// Guards against clients that make a VM run out of memory or descriptors, hang, or serve nobody else: whatever they send and
// wherever, the process lives within its limits, and an ordinary request and a readiness check are answered while the
// clients' connections are still open.
func TestClientsThatDoNotBehave(t *testing.T) {
	for _, load := range clientLoads {
		t.Run(load.name, func(t *testing.T) {
			for _, at := range []string{"route", "batch route", "no route", "ready"} {
				t.Run(at, func(t *testing.T) {
					p := startEntryd(t)
					idle := p.statusKB("VmRSS")
					p.apply(load, p.target(at))
					p.Check(p.answersOrdinaryRequest(), qt.IsTrue, qt.Commentf("ordinary request"))
					p.Check(p.answersReadinessCheck(), qt.IsTrue, qt.Commentf("readiness check"))
					p.stopSampling()
					p.Check(p.alive(), qt.IsTrue, qt.Commentf("%s", p.logs))
					peak := p.statusKB("VmHWM")
					t.Logf("idle %d KB, peak %d KB, descriptors %d", idle, peak, p.maxDescriptors)
					p.Check(peak <= clientsMaxResidentKB, qt.IsTrue, qt.Commentf("peak %d KB, bound %d KB", peak, clientsMaxResidentKB))
					p.Check(p.maxDescriptors <= clientsMaxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", p.maxDescriptors))
				})
			}
		})
	}
}

// target returns a target of clients by its name.
func (p *entrydProcess) target(at string) clientTarget {
	const common = " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: hostile\r\nDeadline-Ms: 60000\r\n"
	switch at {
	case "route":
		return clientTarget{p.callersAddr, "POST /fetch/x" + common}
	case "batch route":
		return clientTarget{p.callersAddr, "POST /mark/x" + common}
	case "no route":
		return clientTarget{p.callersAddr, "POST /nowhere/x" + common}
	default:
		return clientTarget{p.readyAddr, "GET /ready" + common}
	}
}

// Guards against limits that a client within the configuration's limits meets: the largest body and the largest header are
// accepted, each with a complete answer of the largest size.
func TestLargestRequestsAreServedOnCalmVM(t *testing.T) {
	p := startEntryd(t)
	for _, request := range []struct{ name, header, body string }{
		{"body with a length", fmt.Sprintf("Content-Length: %d\r\n", legalBody), string(zeros)},
		{"body in chunks", "Transfer-Encoding: chunked\r\n", strings.Repeat(chunk(string(zeros[:1<<10])), legalBody>>10) + "0\r\n\r\n"},
		{"long field", "Content-Length: 6\r\nLong: " + strings.Repeat("x", 15<<10) + "\r\n", "prompt"},
	} {
		a := p.sendLargest(request.header, request.body)
		p.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", request.name))
		p.Check(a.complete && len(a.body) == largeAnswer, qt.IsTrue, qt.Commentf("%s", request.name))
	}
}

// sendLargest sends a request that asks for the largest answer on a connection of its own and reads the response.
func (p *entrydProcess) sendLargest(header, body string) answer {
	conn, err := net.Dial("tcp4", p.callersAddr)
	p.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	p.Assert(conn.SetDeadline(time.Now().Add(answerTimeout)), qt.IsNil)
	_, err = io.WriteString(conn, p.target("route").start+headerAnswerBytes+": "+strconv.Itoa(largeAnswer)+"\r\n"+header+"\r\n"+body)
	p.Assert(err, qt.IsNil)
	return readAnswer(conn)
}
