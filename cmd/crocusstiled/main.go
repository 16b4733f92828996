// Command crocusstiled runs the daemon of an entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/crocusstile/crocusstile/daemon"
	"github.com/crocusstile/crocusstile/setting"
)

// maxThreads bounds the threads that run at once, unless the environment sets GOMAXPROCS. With more,
// threads without work search for some after each token: relaying costs up to twice as much.
const maxThreads = 2

func main() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxThreads))
	}
	settings := flag.String("settings", "", "settings `file` in JSON")
	demo := flag.Bool("demo", false, "serve one data centre with embedded stand-ins and show what it does")
	exit := flag.Bool("exit", false, "with -demo: end after the demonstration; status 0 only if it was correct")
	flag.Parse()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := start(*settings, *demo, *exit, stop); err != nil {
		fmt.Fprintln(os.Stderr, "crocusstiled:", err)
		os.Exit(1)
	}
}

func start(path string, demo, exit bool, stop chan os.Signal) error {
	if demo {
		return runDemo(exit, stop)
	}
	if path == "" {
		return errors.New("-settings FILE or -demo is needed")
	}
	s, err := setting.Load(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Logging.Level)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(s.Listen))
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("vm", string(s.VM.ID)).Logger()
	d := daemon.New(s, listener, log)
	fmt.Printf("listening on %s\n", listener.Addr())
	return d.Run(context.Background(), stop)
}
