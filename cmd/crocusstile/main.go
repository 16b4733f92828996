// Command crocusstile is the command-line tool for callers and operators; crocusstile -h lists its
// commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/crocusstile/crocusstile/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Terminal{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
	stop()
	os.Exit(int(code))
}
