// Command standin runs one of the stand-ins of package standin, for tests and the demonstration.
//
// It prints "listening on ADDR" when it is ready and ends on SIGTERM or SIGINT. A proxy prints a
// second line, "control on ADDR". A runner that a prompt makes crash exits with status 3.
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

// exitCrash is the exit status of a runner that crashed.
const exitCrash = 3

// create makes a stand-in for a listener once the flags are parsed.
type create func(net.Listener) (standin.StandIn, error)

// subcommands define their flags and return what makes the stand-in.
var subcommands = map[string]func(*flag.FlagSet) create{
	"runner":  buildRunner,
	"service": buildService,
	"log":     buildLog,
	"list":    buildList,
	"weights": buildWeights,
	proxyName: buildProxy,
}

// proxyName is the subcommand that takes its settings on an address of their own.
const proxyName = "proxy"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := start(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func start(ctx context.Context, args []string) error {
	if len(args) == 0 || subcommands[args[0]] == nil {
		return errors.New("usage: standin runner|service|log|list|weights|proxy [flags]")
	}
	name := args[0]
	fs := flag.NewFlagSet(name, flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	control := ""
	if name == proxyName {
		fs.StringVar(&control, "control", "127.0.0.1:0", "address that takes the settings")
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
	server := ln
	if control != "" {
		if server, err = net.Listen("tcp", control); err != nil {
			return err
		}
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	if control != "" {
		fmt.Printf("control on %s\n", server.Addr())
	}
	return standin.Serve(ctx, server, s)
}
