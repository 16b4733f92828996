package main

import (
	"os"

	"github.com/crocusstile/crocusstile/demo"
)

func runDemo(exit bool, stop chan os.Signal) error {
	return demo.Run(demo.Config{Out: os.Stdout, Exit: exit, Stop: stop})
}
