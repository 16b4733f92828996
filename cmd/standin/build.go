package main

import (
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

func buildRunner(fs *flag.FlagSet) create {
	c := standin.RunnerConfig{Crash: func() { os.Exit(exitCrash) }}
	number(fs, &c.Slots, "slots", 8, "requests that run at once")
	span(fs, &c.StepBase, "step-base", 8*cs.Millisecond, "part of a step's time that does not depend on the batch")
	span(fs, &c.StepPerRequest, "step-per-request", cs.Millisecond, "part of a step's time for each request")
	number(fs, &c.PrefillRate, "prefill-rate", 200_000, "prompt bytes processed a second")
	number(fs, &c.Prefixes, "prefixes", 64, "prompt prefixes that fit into the cache")
	span(fs, &c.LoadTime, "load-time", 200*cs.Millisecond, "time of loading a model, besides fetching it")
	span(fs, &c.Faults.LoadLag, "load-lag", 300*cs.Millisecond, "age of load reports")
	fs.BoolVar(&c.ChecksFence, "checks-fence", false, "refuse orders with an old fencing token")
	store := fs.String("weights", "", "address of the weight store; empty fetches nothing")
	loaded := fs.String("loaded", "", "models held from the start, as model/version,model/version")
	path := fs.String("journal", "", "file to which the journal's lines are appended")
	return func(net.Listener) (standin.StandIn, error) {
		c.WeightStore = cs.Address(*store)
		var err error
		if c.Loaded, err = parseLoaded(*loaded); err != nil {
			return nil, err
		}
		if c.Journal, err = openJournal(*path); err != nil {
			return nil, err
		}
		return standin.NewRunner(c), nil
	}
}

func buildService(fs *flag.FlagSet) create {
	var c standin.ServiceConfig
	name := fs.String("service", "", "name of the service, under which calls are hashed")
	number(fs, &c.Slots, "slots", 8, "calls that run at once")
	span(fs, &c.Faults.Work, "work", 5*cs.Millisecond, "time that a call takes")
	span(fs, &c.Faults.LoadLag, "load-lag", 300*cs.Millisecond, "age of load reports")
	path := fs.String("journal", "", "file to which the journal's lines are appended")
	return func(net.Listener) (standin.StandIn, error) {
		c.Service = cs.ServiceID(*name)
		var err error
		if c.Journal, err = openJournal(*path); err != nil {
			return nil, err
		}
		return standin.NewService(c), nil
	}
}

func buildLog(fs *flag.FlagSet) create {
	var c standin.LogConfig
	number(fs, &c.Faults.AppendRate, "append-rate", 400, "appends a second over all streams")
	span(fs, &c.Faults.Retention, "retention", 0, "age at which records are dropped; 0 keeps them")
	span(fs, &c.Faults.Delay, "delay", 0, "time before a request takes effect")
	number(fs, &c.Faults.LoseRate, "lose-rate", 0, "share of appends that take effect but get no answer")
	fs.Uint64Var(&c.Seed, "seed", 1, "determines which answers are lost")
	return func(net.Listener) (standin.StandIn, error) { return standin.NewLog(c), nil }
}

func buildList(fs *flag.FlagSet) create {
	var c standin.ListConfig
	span(fs, &c.Faults.Lag, "lag", 0, "time after which a change is shown")
	path := fs.String("entries", "", `file with the entries shown from the start, as {"vms": [...]}`)
	return func(net.Listener) (standin.StandIn, error) {
		var err error
		if c.Entries, err = readEntries(*path); err != nil {
			return nil, err
		}
		return standin.NewList(c), nil
	}
}

// span defines a flag for a length of time.
func span(fs *flag.FlagSet, field *cs.Span, name string, value cs.Span, usage string) {
	*field = value
	fs.TextVar(field, name, value, usage)
}

// number defines a flag for a number of a named type.
func number[T ~int | ~int32 | ~int64 | ~float64](fs *flag.FlagSet, field *T, name string, value T, usage string) {
	*field = value
	fs.Func(name, usage, func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		*field = T(n)
		return nil
	})
}

// parseLoaded reads the notation "model/version,model/version".
func parseLoaded(text string) ([]cs.LoadedModel, error) {
	var models []cs.LoadedModel
	for name := range strings.SplitSeq(text, ",") {
		if name == "" {
			continue
		}
		model, version, ok := strings.Cut(name, "/")
		if !ok {
			return nil, errors.Newf("%q is not model/version", name)
		}
		models = append(models, cs.LoadedModel{Model: cs.ModelID(model), Version: cs.VersionID(version)})
	}
	return models, nil
}

// openJournal opens a file for appending; an empty path opens none.
func openJournal(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// readEntries reads the entries of a list; an empty path reads none.
func readEntries(path string) ([]standin.Entry, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var body struct {
		VMs []standin.Entry `json:"vms"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrapf(err, "cannot decode %s", path)
	}
	return body.VMs, nil
}

func buildWeights(fs *flag.FlagSet) create {
	var c standin.WeightsConfig
	number(fs, &c.Size, "size", 1<<20, "bytes of a model's weights")
	number(fs, &c.Burst, "burst", 0, "bytes that may be read at once; 0 stands for the size")
	number(fs, &c.Faults.Rate, "rate", 4<<20, "bytes a second over all readers")
	return func(net.Listener) (standin.StandIn, error) { return standin.NewWeights(c), nil }
}

// buildProxy makes a proxy of the connections that come on the -listen address; its settings are
// taken on the -control address.
func buildProxy(fs *flag.FlagSet) create {
	target := fs.String("target", "", "address to which connections are forwarded")
	return func(ln net.Listener) (standin.StandIn, error) {
		if *target == "" {
			return nil, errors.New("-target is required")
		}
		return standin.NewProxy(standin.ProxyConfig{Target: cs.Address(*target), Listener: ln}), nil
	}
}
