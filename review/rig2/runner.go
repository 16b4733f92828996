package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// weightVersion is the version of the weights that runners have.
const weightVersion = "1"

// runnerProcess is a runner with the protocol of the platform's pages. Its answers are streams of numbered events. Unless they are
// framed, they have neither a length nor chunks: they end when the runner closes the connection.
type runnerProcess struct {
	id     string
	events int
	pause  time.Duration
	framed bool
	// recorded means that the runs of framed answers are written to standard output.
	recorded bool
	// shape is that of the data of events.
	shape string
}

// serveRunner serves requests until the process is killed.
func serveRunner(args []string) error {
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	address := flags.String("listen", "127.0.0.1:0", "address")
	p := runnerProcess{}
	flags.StringVar(&p.id, "id", "", "instance id")
	flags.IntVar(&p.events, "events", 20, "events of a stream")
	flags.DurationVar(&p.pause, "pause", 50*time.Millisecond, "time between events")
	flags.BoolVar(&p.recorded, "recorded", false, "writes the runs of framed answers")
	flags.StringVar(&p.shape, "shape", "plain", "data of the events: plain or paragraphs")
	flags.BoolVar(&p.framed, "framed", false, "answers have chunks")
	if err := flags.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", *address)
	if err != nil {
		return err
	}
	server := http.Server{Handler: &p, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(l)
}

// ServeHTTP runs one request. Each run and its end are written to standard output.
func (p *runnerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != weightVersion {
		fmt.Printf("%s runner %s refuses request %s (421): it expects version %s of the weights\n", timestamp(), p.id, id, expected)
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header: all events are sent
	if p.framed {
		p.streamFramed(w, r, id, last)
		return
	}
	fmt.Printf("%s runner %s runs request %s after event %d\n", timestamp(), p.id, id, last)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	p.stream(buffered.Writer, id, last)
}

// stream writes the events after one.
func (p *runnerProcess) stream(w *bufio.Writer, id string, last int) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nConnection: close\r\n\r\n", id, p.id)
	for n := last + 1; n <= p.events; n++ {
		_, _ = w.WriteString(encodeEvent(n, eventData(p.shape, n)))
		if err := w.Flush(); err != nil {
			fmt.Printf("%s runner %s cannot send event %d of %s\n", timestamp(), p.id, n, id)
			return
		}
		time.Sleep(p.pause)
	}
	fmt.Printf("%s runner %s has sent all %d events of %s\n", timestamp(), p.id, p.events, id)
}

// streamFramed writes the events after one in chunks.
func (p *runnerProcess) streamFramed(w http.ResponseWriter, r *http.Request, id string, last int) {
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig-"+p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", weightVersion)
	if p.recorded {
		fmt.Printf("%s runner %s runs request %s after event %d\n", timestamp(), p.id, id, last)
		defer func() { fmt.Printf("%s runner %s ends request %s\n", timestamp(), p.id, id) }()
	}
	for n := last + 1; n <= p.events; n++ {
		_, _ = io.WriteString(w, encodeEvent(n, eventData(p.shape, n)))
		if err := http.NewResponseController(w).Flush(); err != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(p.pause)
	}
}
