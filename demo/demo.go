// Package demo runs the daemon and the stand-ins of one data centre in one process, and demonstrates
// the system with a few requests and a batch job.
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

// The deployment that the demonstration uses.
const (
	dataCentre  = "muc-a"
	model       = "tutor-7b"
	version     = "v1"
	runnerCount = 3
)

// Config configures a demonstration.
type Config struct {
	// Out receives one line for each step.
	Out io.Writer
	// ExitWhenDone ends the process after the demonstration.
	ExitWhenDone bool
	// Signals delivers the signal that starts the drain and ends the process.
	Signals chan os.Signal
}

// Run serves until a signal arrives on Config.Signals. With Config.ExitWhenDone it ends after the
// demonstration. It returns an error if a response was incomplete or something ran more or less
// often than once.
func Run(c Config) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	s, err := newSite(ctx, &g)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	d := daemon.New(s.settings(), s.apiListener, log)
	stop := make(chan os.Signal, 2)
	g.Add(func() error { return d.Run(ctx, stop) }, func(error) { cancel() })
	g.Add(func() error {
		demo := newDemonstration(c.Out, s)
		if err := demo.run(ctx); err != nil {
			return errors.Wrap(err, "demonstration")
		}
		if c.ExitWhenDone {
			return errDemonstrationDone
		}
		if err := s.printAddresses(c.Out); err != nil {
			return err
		}
		select {
		case sig := <-c.Signals:
			stop <- sig
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	if err := g.Run(); err != nil && !errors.Is(err, errDemonstrationDone) {
		return err
	}
	return nil
}

// errDemonstrationDone ends the run group after a successful demonstration.
var errDemonstrationDone = errors.New("demonstration done")

// site is one data centre made of stand-ins, and the listener of its daemon.
type site struct {
	apiListener   net.Listener
	logAddress    cs.Address
	listAddress   cs.Address
	records       *standin.Service
	logStandIn    *standin.Log
	registrations []standin.Registration
}

// newSite starts the stand-ins and adds them to the run group.
func newSite(ctx context.Context, g *run.Group) (*site, error) {
	s := &site{logStandIn: standin.NewLog(standin.LogConfig{}), records: standin.NewService(standin.ServiceConfig{Service: "records-app"})}
	var err error
	if s.apiListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if s.logAddress, err = serve(ctx, g, s.logStandIn); err != nil {
		return nil, err
	}
	records, err := serve(ctx, g, s.records)
	if err != nil {
		return nil, err
	}
	s.registrations = []standin.Registration{
		{ID: "vm-1", Kind: standin.KindEntry, Address: cs.Address(s.apiListener.Addr().String()), DataCentre: dataCentre},
		{ID: "records-1", Kind: standin.KindService, Service: "records-app", Address: records, DataCentre: dataCentre, Slots: 8},
	}
	for i := range runnerCount {
		r := standin.NewRunner(standin.RunnerConfig{Loaded: []cs.LoadedModel{{Model: model, Version: version}}})
		addr, err := serve(ctx, g, r)
		if err != nil {
			return nil, err
		}
		s.registrations = append(s.registrations, standin.Registration{
			ID: fmt.Sprintf("tutor-%d", i+1), Kind: standin.KindRunner, Service: "tutor-models",
			Address: addr, DataCentre: dataCentre, Slots: 8,
		})
	}
	s.listAddress, err = serve(ctx, g, standin.NewVMList(standin.VMListConfig{Registrations: s.registrations}))
	return s, err
}

// serve runs a stand-in on a free port as a member of the run group.
func serve(ctx context.Context, g *run.Group, standIn standin.StandIn) (cs.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return standin.Serve(ctx, listener, standIn) }, func(error) { cancel() })
	return cs.Address(listener.Addr().String()), nil
}

// settings returns the default settings of the daemon, adapted to the site.
func (s *site) settings() setting.Settings {
	result := setting.Default()
	result.VM = setting.VM{ID: "vm-1", DataCentre: dataCentre}
	result.Listen = cs.Address(s.apiListener.Addr().String())
	result.Advertise = result.Listen
	result.Log.Address, result.List.Address = s.logAddress, s.listAddress
	result.Parameters.Shards = 4
	result.Parameters.DrainWait = 200 * cs.Millisecond
	return result
}

// printAddresses prints the addresses of the daemon and the stand-ins, and a command to try.
func (s *site) printAddresses(w io.Writer) error {
	line := func(name string, a cs.Address) string { return fmt.Sprintf("%-12s http://%s\n", name, a) }
	text := "\n" + line("serving on", cs.Address(s.apiListener.Addr().String())) + line("log", s.logAddress) + line("list", s.listAddress)
	for _, r := range s.registrations[1:] {
		text += line(r.ID, r.Address)
	}
	text += fmt.Sprintf("try: go run ./cmd/crocusstile ask -addr %s -tenant muc -model %s \"How do I lift a crate?\"\n", s.apiListener.Addr(), model)
	_, err := io.WriteString(w, text)
	return err
}
