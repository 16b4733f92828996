package main

import (
	"os"

	"github.com/crocusstile/crocusstile/demo"
)

func runDemo(exitAfterDemo bool, signals chan os.Signal) error {
	return demo.Run(demo.Config{Out: os.Stdout, ExitWhenDone: exitAfterDemo, Signals: signals})
}
