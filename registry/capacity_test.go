package registry_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/engine"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/registry"
	"github.com/crocusstile/crocusstile/standin"
	"github.com/crocusstile/crocusstile/wire"
)

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newListBody returns the platform's list of a fleet as JSON.
func newListBody(b *testing.B, vms, runners int) []byte {
	registrations := make([]standin.Registration, 0, vms+runners)
	for i := range vms {
		registrations = append(registrations, standin.Registration{
			ID: fmt.Sprintf("vm-%03d", i), Kind: standin.KindEntry, Address: cs.Address(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)),
			DataCentre: cs.DataCentreID(fmt.Sprint("dc-", i%9)), Incarnation: cs.Incarnation(cs.RendezvousWeight("list", fmt.Sprint(i))),
		})
	}
	for i := range runners {
		registrations = append(registrations, standin.Registration{
			ID: fmt.Sprintf("runner-%04d", i), Kind: standin.KindRunner, Service: "tutor-models", Address: cs.Address(fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250)),
			DataCentre: cs.DataCentreID(fmt.Sprint("dc-", i%9)), Incarnation: cs.Incarnation(cs.RendezvousWeight("list", fmt.Sprint(i))), Slots: 64,
		})
	}
	body, err := json.Marshal(map[string]any{"vms": registrations})
	if err != nil {
		b.Fatal(err)
	}
	return body
}

// BenchmarkCapacityList measures one read of the platform's list by its number of registrations: size of
// the response and CPU time of this process, which includes serving the list from memory.
func BenchmarkCapacityList(b *testing.B) {
	for _, s := range []struct{ vms, runners int }{{21, 21}, {43, 411}, {130, 1200}, {390, 3700}} {
		body := newListBody(b, s.vms, s.runners)
		b.Run(fmt.Sprint("whole/entries=", s.vms+s.runners), func(b *testing.B) { benchmarkList(b, body, "") })
		b.Run(fmt.Sprint("gzip/entries=", s.vms+s.runners), func(b *testing.B) { benchmarkGzip(b, body) })
		b.Run(fmt.Sprint("unchanged/entries=", s.vms+s.runners), func(b *testing.B) { benchmarkList(b, body, `"1"`) })
	}
}

// benchmarkGzip reports the size of a gzip-compressed list and the time to decompress it.
func benchmarkGzip(b *testing.B, body []byte) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(body)
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		r, err := gzip.NewReader(bytes.NewReader(compressed.Bytes()))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(compressed.Len()), "bytes")
}

// benchmarkList measures reads of a list. If etag is not empty, the list has this entity tag and does not
// change; otherwise it has none.
func benchmarkList(b *testing.B, body []byte, etag string) {
	var sentBytes atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if etag != "" {
			w.Header().Set("ETag", etag)
		}
		if etag != "" && r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sentBytes.Add(int64(len(body)))
		_, _ = w.Write(body)
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	read := make(chan struct{})
	l := registry.NewList(registry.ListConfig{Address: cs.Address(s.Listener.Addr().String()), Poll: 1, Post: func(_ context.Context, e fleet.Event) error {
		if _, ok := e.(fleet.ListRead); !ok {
			b.Error(e)
		}
		select {
		case read <- struct{}{}:
		case <-ctx.Done():
		}
		return ctx.Err()
	}})
	go func() { _ = l.Run(ctx) }()
	<-read
	<-read
	cpuBefore, sentBefore := cpuTime(b), sentBytes.Load()
	for b.Loop() {
		<-read
	}
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(sentBytes.Load()-sentBefore)/float64(b.N), "body-bytes/op")
}

func serveBody(b *testing.B, body []byte) cs.Address {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	b.Cleanup(s.Close)
	return cs.Address(s.Listener.Addr().String())
}

// BenchmarkCapacityLoad measures one load report by the number of models that the runner has loaded: size
// of the response and CPU time of this process, which includes serving it.
func BenchmarkCapacityLoad(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprint("loaded=", n), func(b *testing.B) {
			var loaded []string
			for i := range n {
				loaded = append(loaded, fmt.Sprintf("model-%02d/2026-11", i))
			}
			body, err := json.Marshal(map[string]any{"running": 10, "waiting": 1, "slots": 64, "batch": 3, "leaving": false, "loaded": loaded, "atMs": 1_700_000_000_000})
			if err != nil {
				b.Fatal(err)
			}
			address := serveBody(b, body)
			c := engine.New(engine.Config{Clock: cs.NewClock(), DialTimeout: cs.Second, IdleTimeout: cs.Second, FirstByteTimeout: cs.Second, MaxResponse: 1 << 20})
			defer c.Close()
			before := cpuTime(b)
			for b.Loop() {
				if _, err := c.Load(b.Context(), address); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

// BenchmarkCapacityTail measures reading one batch from the log by its number of ended items: size of the
// response and CPU time of this process, which includes serving it.
func BenchmarkCapacityTail(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		b.Run(fmt.Sprint("items=", n), func(b *testing.B) {
			batch := cs.LogBatch{Writer: 1, VM: "vm-000", Seq: 1}
			for i := range n {
				batch.Records = append(batch.Records, cs.ItemEnded{Job: "0123456789abcdef0123456789abcdef", Result: cs.ItemResult{
					Index: cs.ItemIndex(i), State: cs.ItemDone, Output: string(make([]byte, 400)), Attempts: 1,
				}})
			}
			payload, err := wire.EncodeBatch(batch)
			if err != nil {
				b.Fatal(err)
			}
			benchmarkTail(b, payload)
		})
	}
}

// benchmarkTail measures a tail of a log in which every record has the same payload.
func benchmarkTail(b *testing.B, payload []byte) {
	var size int
	log := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var from int
		_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
		body, _ := json.Marshal(map[string]any{"first": 0, "next": from + 1, "records": []any{
			map[string]any{"offset": from, "timeMs": 1_700_000_000_000, "payload": payload},
		}})
		size = len(body)
		_, _ = w.Write(body)
	}))
	defer log.Close()
	read := make(chan struct{})
	l := registry.NewLog(registry.LogConfig{Address: cs.Address(log.Listener.Addr().String()), AppendTimeout: cs.Second, Post: func(ctx context.Context, _ fleet.Event) error {
		select {
		case read <- struct{}{}:
		case <-ctx.Done():
		}
		return ctx.Err()
	}})
	l.Subscribe("work-000", 0)
	<-read
	before := cpuTime(b)
	for b.Loop() {
		<-read
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	l.Close()
	b.ReportMetric(float64(size), "bytes")
}
