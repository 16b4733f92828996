// Command review-rig2 has the stand-ins and the drivers of the scripts in review/6 to review/10. Each driver starts the entry VMs
// and the runners as processes of their own, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a driver.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "review-rig2 runner|CASE ...")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "runner" {
		if err := serveRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "review-rig2:", err)
			os.Exit(exitNotRun)
		}
		return
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "review-rig2: no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(drive(run))
}

// cases are the drivers by name.
var cases = map[string]func(*rig) (broken bool, err error){
	"items": items, "lines": lines, "memory": memory, "unframed": unframed,
}
