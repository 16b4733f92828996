package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// addrEnvVar names the environment variable with the default address of the VM.
const addrEnvVar = "CROCUSSTILE_ADDR"

// defaultAddr is used if neither -addr nor the environment variable is set.
const defaultAddr = "127.0.0.1:8080"

// commonFlags holds the flags that all commands have.
type commonFlags struct {
	addr    string
	json    bool
	timeout cs.Span
}

func defineCommonFlags(fs *flag.FlagSet, getenv func(string) string) *commonFlags {
	f := new(commonFlags)
	addr := defaultAddr
	if v := getenv(addrEnvVar); v != "" {
		addr = v
	}
	fs.StringVar(&f.addr, "addr", addr, "`address` of a VM; the default is taken from "+addrEnvVar)
	fs.BoolVar(&f.json, "json", false, "print JSON instead of text")
	fs.TextVar(&f.timeout, "timeout", cs.Minute, "`time` after which a request times out")
	return f
}

// session executes one command against one VM.
type session struct {
	Terminal
	commonFlags
	exchange *exchange
}

func newSession(t Terminal, f *commonFlags) (*session, error) {
	if _, _, err := net.SplitHostPort(f.addr); err != nil {
		return nil, usageErrorf("-addr", `is %q; should be an address such as "127.0.0.1:8080"`, f.addr)
	}
	if f.timeout <= 0 {
		return nil, usageErrorf("-timeout", `is %s; should be above 0, such as "30s"`, f.timeout)
	}
	return &session{Terminal: t, commonFlags: *f, exchange: newExchange()}, nil
}

// execute runs the command; its error is a Failure unless the output cannot be written.
func (s *session) execute(ctx context.Context, c Command) error {
	switch c := c.(type) {
	case *Ask:
		return s.ask(ctx, c)
	case *Call:
		return s.call(ctx, c)
	case *JobSubmit:
		return s.jobSubmit(ctx, c)
	case *JobStatus:
		return s.jobStatus(ctx, c)
	case *JobList:
		return s.jobList(ctx)
	case *JobCancel:
		return s.jobCancel(ctx, c)
	case *JobResults:
		return s.jobResults(ctx, c)
	case *TicketSubmit:
		return s.ticketSubmit(ctx, c)
	case *TicketShow:
		return s.ticketShow(ctx, c)
	case *VMs:
		return s.vms(ctx)
	case *Runners:
		return s.runners(ctx, c)
	case *Drain:
		return s.drain(ctx)
	case *SettingsCheck:
		return s.settingsCheck(c)
	case *Explain:
		return s.explain(c)
	case *Where:
		return s.where(ctx, c)
	case *Version:
		return s.version()
	}
	return nil
}

// deadlineMs returns the timeout in the form of the deadline field of requests.
func (s *session) deadlineMs() *int64 {
	ms := int64(s.timeout)
	return &ms
}

// printJSON writes a value as one line of JSON.
func (s *session) printJSON(v any) error { return json.NewEncoder(s.Out).Encode(v) }

// printBody writes the body of the last response unchanged.
func (s *session) printBody() error {
	_, err := s.Out.Write(append(s.exchange.body, '\n'))
	return err
}

// row writes one row of a table; tabs in the format separate the columns.
type row func(format string, args ...any)

// printTable prints rows in aligned columns under a header. If rows fails, the rows that it wrote
// before the error are printed as well.
func (s *session) printTable(header string, rows func(row) error) error {
	var table bytes.Buffer
	w := tabwriter.NewWriter(&table, 0, 4, 2, ' ', 0)
	writef(w, "%s\n", header)
	err := rows(func(format string, args ...any) { writef(w, format+"\n", args...) })
	err = errors.CombineErrors(err, w.Flush())
	_, writeErr := s.Out.Write(table.Bytes())
	return errors.CombineErrors(err, writeErr)
}

// writef writes text for a person at a terminal. It ignores errors, because there is no other place
// to report them to.
func writef(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
