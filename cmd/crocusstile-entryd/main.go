// Command crocusstile-entryd runs an entry VM on the hosting platform, to which package platform connects
// it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/crocusstile/crocusstile/entry"
)

// settingsEnvVar names the environment variable with the path of the settings file.
const settingsEnvVar = "CROCUSSTILE_NODE_FILE"

// logBufferLines is the number of log lines buffered for standard output. When the buffer is full,
// the oldest lines are dropped, so that a full pipe does not block the entry VM.
const logBufferLines = 1000

// logTimeFormat is the format of the time in log lines; lines of several VMs are sorted by it.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	path := flag.String("settings", os.Getenv(settingsEnvVar), "settings `file` in JSON; the default is the value of $"+settingsEnvVar)
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if err := run(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, "crocusstile-entryd:", err)
		os.Exit(1)
	}
}

// run checks the settings, or runs the entry VM until it is stopped.
func run(path string, check bool) error {
	if path == "" {
		return errors.Newf("-settings FILE or $%s is required", settingsEnvVar)
	}
	if check {
		_, err := entry.LoadSettings(path)
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	zerolog.TimeFieldFormat = logTimeFormat
	logWriter := diode.NewWriter(os.Stdout, logBufferLines, 0, nil)
	defer func() { _ = logWriter.Close() }() // the process is about to exit
	vm, err := entry.New(path, zerolog.New(logWriter).With().Timestamp().Logger())
	if err != nil {
		return err
	}
	return vm.Run(context.Background(), signals)
}
