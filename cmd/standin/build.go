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

func buildRunner(fs *flag.FlagSet) factory {
	c := standin.RunnerConfig{Crash: func() { os.Exit(crashExitStatus) }}
	numberFlag(fs, &c.Slots, "slots", 8, "requests that run at once")
	spanFlag(fs, &c.StepBase, "step-base", 8*cs.Millisecond, "part of a step's duration that does not depend on the number of requests")
	spanFlag(fs, &c.StepPerRequest, "step-per-request", cs.Millisecond, "part of a step's duration for each request")
	numberFlag(fs, &c.PrefillRate, "prefill-rate", 200_000, "prompt bytes processed per second")
	numberFlag(fs, &c.Prefixes, "prefixes", 64, "prompt prefixes that fit into the cache")
	spanFlag(fs, &c.LoadTime, "load-time", 200*cs.Millisecond, "time to load a model after its weights are fetched")
	spanFlag(fs, &c.Faults.LoadLag, "load-lag", 300*cs.Millisecond, "age of the load that the stand-in reports")
	fs.BoolVar(&c.ChecksFencingToken, "checks-fence", false, "reject orders with an old fencing token")
	weightStore := fs.String("weights", "", "address of the weight store; if empty, no weights are fetched")
	loaded := fs.String("loaded", "", "models loaded at the start, as model/version,model/version")
	journalPath := fs.String("journal", "", "file to which the journal is appended")
	return func(net.Listener) (standin.StandIn, error) {
		c.WeightStore = cs.Address(*weightStore)
		var err error
		if c.Loaded, err = parseLoaded(*loaded); err != nil {
			return nil, err
		}
		if c.Journal, err = openJournal(*journalPath); err != nil {
			return nil, err
		}
		return standin.NewRunner(c), nil
	}
}

func buildService(fs *flag.FlagSet) factory {
	var c standin.ServiceConfig
	name := fs.String("service", "", "name of the service, which is part of the content hash of calls")
	numberFlag(fs, &c.Slots, "slots", 8, "calls that run at once")
	spanFlag(fs, &c.Faults.Work, "work", 5*cs.Millisecond, "duration of a call")
	spanFlag(fs, &c.Faults.LoadLag, "load-lag", 300*cs.Millisecond, "age of the load that the stand-in reports")
	journalPath := fs.String("journal", "", "file to which the journal is appended")
	return func(net.Listener) (standin.StandIn, error) {
		c.Service = cs.ServiceID(*name)
		var err error
		if c.Journal, err = openJournal(*journalPath); err != nil {
			return nil, err
		}
		return standin.NewService(c), nil
	}
}

func buildLog(fs *flag.FlagSet) factory {
	var c standin.LogConfig
	numberFlag(fs, &c.Faults.AppendRate, "append-rate", 400, "appends per second over all streams")
	spanFlag(fs, &c.Faults.Retention, "retention", 0, "age at which records are dropped; 0 keeps them")
	spanFlag(fs, &c.Faults.Delay, "delay", 0, "time before a request takes effect")
	numberFlag(fs, &c.Faults.DropResponseRate, "lose-rate", 0, "share of appends that take effect but get no response")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed that determines which responses are lost")
	return func(net.Listener) (standin.StandIn, error) { return standin.NewLog(c), nil }
}

func buildList(fs *flag.FlagSet) factory {
	var c standin.VMListConfig
	spanFlag(fs, &c.Faults.Lag, "lag", 0, "time until a change appears in the list")
	registrationsPath := fs.String("entries", "", `file with the registrations listed at the start, as {"vms": [...]}`)
	return func(net.Listener) (standin.StandIn, error) {
		var err error
		if c.Registrations, err = readRegistrations(*registrationsPath); err != nil {
			return nil, err
		}
		return standin.NewVMList(c), nil
	}
}

// spanFlag defines a flag for a duration.
func spanFlag(fs *flag.FlagSet, field *cs.Span, name string, value cs.Span, usage string) {
	*field = value
	fs.TextVar(field, name, value, usage)
}

// numberFlag defines a flag for a named number type, which package flag does not support.
func numberFlag[T ~int | ~int32 | ~int64 | ~float64](fs *flag.FlagSet, field *T, name string, value T, usage string) {
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

// parseLoaded parses a list of models such as "model/version,model/version".
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

// openJournal opens the journal for appending; without a path there is no journal.
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

// readRegistrations reads the registrations of a list; without a path there are none.
func readRegistrations(path string) ([]standin.Registration, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var body struct {
		VMs []standin.Registration `json:"vms"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrapf(err, "cannot decode %s", path)
	}
	return body.VMs, nil
}

func buildWeights(fs *flag.FlagSet) factory {
	var c standin.WeightStoreConfig
	numberFlag(fs, &c.Size, "size", 1<<20, "bytes of a model's weights")
	numberFlag(fs, &c.Burst, "burst", 0, "bytes that may be read at once; 0 means the size")
	numberFlag(fs, &c.Faults.Rate, "rate", 4<<20, "bytes per second over all readers")
	return func(net.Listener) (standin.StandIn, error) { return standin.NewWeightStore(c), nil }
}

// buildProxy builds a proxy that forwards the connections on the -listen address. Its HTTP
// interface for faults listens on the -control address.
func buildProxy(fs *flag.FlagSet) factory {
	target := fs.String("target", "", "address to which connections are forwarded")
	return func(ln net.Listener) (standin.StandIn, error) {
		if *target == "" {
			return nil, errors.New("-target is required")
		}
		return standin.NewProxy(standin.ProxyConfig{Target: cs.Address(*target), Listener: ln}), nil
	}
}
