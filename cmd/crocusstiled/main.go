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

// maxThreads limits the threads that run Go code at once, unless the environment sets GOMAXPROCS.
// With more threads, idle ones search for work after each token, and relaying costs up to twice as
// much.
const maxThreads = 2

func main() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), maxThreads))
	}
	settings := flag.String("settings", "", "settings `file` in JSON")
	demo := flag.Bool("demo", false, "run one data centre with embedded stand-ins and demonstrate it")
	exit := flag.Bool("exit", false, "with -demo: exit after the demonstration, with status 0 only if every step was correct")
	flag.Parse()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := run(*settings, *demo, *exit, signals); err != nil {
		fmt.Fprintln(os.Stderr, "crocusstiled:", err)
		os.Exit(1)
	}
}

// run runs the demonstration, or the daemon with the settings at the path, until a signal stops it.
func run(settingsPath string, demo, exitAfterDemo bool, signals chan os.Signal) error {
	if demo {
		return runDemo(exitAfterDemo, signals)
	}
	if settingsPath == "" {
		return errors.New("-settings FILE or -demo is required")
	}
	s, err := setting.Load(settingsPath)
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
	return d.Run(context.Background(), signals)
}
