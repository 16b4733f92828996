// Command standin runs one of the stand-ins of package standin, for tests and the demonstration.
//
// It prints "listening on ADDR" when it is ready and stops on SIGTERM or SIGINT. A proxy prints a
// second line, "control on ADDR". A runner whose prompt makes it crash exits with status 3.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/crocusstile/crocusstile/standin"
)

// crashExitStatus is the exit status of a runner that crashed, unlike 1 for other errors.
const crashExitStatus = 3

// factory creates a stand-in for a listener; it is called after the flags are parsed.
type factory func(net.Listener) (standin.StandIn, error)

// subcommands maps each name to a function that defines the flags and returns the factory.
var subcommands = map[string]func(*flag.FlagSet) factory{
	"runner":        buildRunner,
	"service":       buildService,
	"log":           buildLog,
	"list":          buildList,
	"weights":       buildWeights,
	proxySubcommand: buildProxy,
}

// proxySubcommand is the subcommand with a separate address for its settings, since its listener
// takes the connections that it forwards.
const proxySubcommand = "proxy"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

// run parses the arguments and serves the stand-in until the context is cancelled.
func run(ctx context.Context, args []string) error {
	if len(args) == 0 || subcommands[args[0]] == nil {
		return errors.New("usage: standin runner|service|log|list|weights|proxy [flags]")
	}
	name := args[0]
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	control := ""
	if name == proxySubcommand {
		fs.StringVar(&control, "control", "127.0.0.1:0", "address of the HTTP interface for the settings")
	}
	build := subcommands[name](fs)
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	s, err := build(ln)
	if err != nil {
		return err
	}
	httpListener := ln
	if control != "" {
		if httpListener, err = net.Listen("tcp", control); err != nil {
			return err
		}
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	if control != "" {
		fmt.Printf("control on %s\n", httpListener.Addr())
	}
	return standin.Serve(ctx, httpListener, s)
}
