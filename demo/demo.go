// Package demo serves one data centre in one process, with the stand-ins embedded, and shows what
// the system does.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/daemon"
	"github.com/crocusstile/crocusstile/setting"
	"github.com/crocusstile/crocusstile/standin"
)

// What the demonstration serves.
const (
	dataCentre = "muc-a"
	model      = "tutor-7b"
	version    = "v1"
	runners    = 3
)

// Config holds what a demonstration needs.
type Config struct {
	// Out gets what happens, line by line.
	Out io.Writer
	// Exit ends the process after the demonstration.
	Exit bool
	// Stop ends the process with a drain.
	Stop chan os.Signal
}

// Run serves until a signal on Config.Stop; with Config.Exit it ends after the demonstration and
// returns an error if an answer was not whole or something ran more or less often than once.
func Run(c Config) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	s, err := newSite(ctx, &g)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	d := daemon.New(s.settings(), s.front, log)
	stop := make(chan os.Signal, 2)
	g.Add(func() error { return d.Run(ctx, stop) }, func(error) { cancel() })
	g.Add(func() error {
		t := newTour(c.Out, s)
		if err := t.run(ctx); err != nil {
			return errors.Wrap(err, "demonstration")
		}
		if c.Exit {
			return errDone
		}
		if err := s.tellAddresses(c.Out); err != nil {
			return err
		}
		select {
		case sig := <-c.Stop:
			stop <- sig
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	if err := g.Run(); err != nil && !errors.Is(err, errDone) {
		return err
	}
	return nil
}

// errDone ends the group after a demonstration that was right.
var errDone = errors.New("demonstration done")

// site is one data centre made of stand-ins.
type site struct {
	front   net.Listener
	log     cs.Address
	list    cs.Address
	records *standin.Service
	journal *standin.Log
	entries []standin.Entry
}

// newSite starts the stand-ins and adds them to the group.
func newSite(ctx context.Context, g *run.Group) (*site, error) {
	s := &site{journal: standin.NewLog(standin.LogConfig{}), records: standin.NewService(standin.ServiceConfig{Service: "records-app"})}
	var err error
	if s.front, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if s.log, err = serve(ctx, g, s.journal); err != nil {
		return nil, err
	}
	records, err := serve(ctx, g, s.records)
	if err != nil {
		return nil, err
	}
	s.entries = []standin.Entry{
		{ID: "vm-1", Kind: standin.KindEntry, Address: cs.Address(s.front.Addr().String()), DataCentre: dataCentre},
		{ID: "records-1", Kind: standin.KindService, Service: "records-app", Address: records, DataCentre: dataCentre, Slots: 8},
	}
	for i := range runners {
		r := standin.NewRunner(standin.RunnerConfig{Loaded: []cs.LoadedModel{{Model: model, Version: version}}})
		addr, err := serve(ctx, g, r)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, standin.Entry{
			ID: fmt.Sprintf("tutor-%d", i+1), Kind: standin.KindRunner, Service: "tutor-models",
			Address: addr, DataCentre: dataCentre, Slots: 8,
		})
	}
	s.list, err = serve(ctx, g, standin.NewList(standin.ListConfig{Entries: s.entries}))
	return s, err
}

// serve runs a stand-in on a free port.
func serve(ctx context.Context, g *run.Group, x standin.StandIn) (cs.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return standin.Serve(ctx, listener, x) }, func(error) { cancel() })
	return cs.Address(listener.Addr().String()), nil
}

// settings returns the settings of the daemon.
func (s *site) settings() setting.Settings {
	x := setting.Default()
	x.VM = setting.VM{ID: "vm-1", DataCentre: dataCentre}
	x.Listen = cs.Address(s.front.Addr().String())
	x.Advertise = x.Listen
	x.Log.Address, x.List.Address = s.log, s.list
	x.Parameters.Shards = 4
	x.Parameters.DrainWait = 200 * cs.Millisecond
	return x
}

// tellAddresses prints where everything is.
func (s *site) tellAddresses(w io.Writer) error {
	line := func(name string, a cs.Address) string { return fmt.Sprintf("%-12s http://%s\n", name, a) }
	text := "\n" + line("serving on", cs.Address(s.front.Addr().String())) + line("log", s.log) + line("list", s.list)
	for _, e := range s.entries[1:] {
		text += line(e.ID, e.Address)
	}
	text += fmt.Sprintf("try: go run ./cmd/crocusstile ask -addr %s -tenant muc -model %s \"How do I lift a crate?\"\n", s.front.Addr(), model)
	_, err := io.WriteString(w, text)
	return err
}
