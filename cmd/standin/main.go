// Command standin runs one of the stand-ins of package standin, for tests and the demonstration.
//
// It prints "listening on ADDR" when it is ready and ends on SIGTERM or SIGINT. A runner that a
// prompt makes crash exits with status 3.
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

// build defines a subcommand's flags and returns what makes the stand-in once they are parsed.
type build func(fs *flag.FlagSet) func() (standin.StandIn, error)

var subcommands = map[string]build{
	"runner":  buildRunner,
	"service": buildService,
	"log":     buildLog,
	"list":    buildList,
}

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
		return errors.New("usage: standin runner|service|log|list [flags]")
	}
	fs := flag.NewFlagSet(args[0], flag.ExitOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	create := subcommands[args[0]](fs)
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	s, err := create()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	return standin.Serve(ctx, ln, s)
}
