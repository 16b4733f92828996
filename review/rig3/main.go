// Command rig3 plays the scripts of the third review: it starts the project's processes on loopback addresses beside stand-ins of the
// platform's store, of runners and of clients, and judges what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the scripts by name. Each returns whether the rule was broken.
var scenarios = map[string]func(p *platform, trouble bool) (bool, error){}

func main() {
	name := flag.String("case", "", "name of the script")
	out := flag.String("record", "record.txt", "`file` of the record")
	flag.Parse()
	os.Exit(run(*name, *out))
}

func run(name, out string) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig3: unknown case", name)
		return exitNotRun
	}
	file, err := os.Create(filepath.Clean(out))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", name, trouble)
	p, err := newPlatform(dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitNotRun
	}
	defer p.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		p.stopAll()
		os.Exit(exitNotRun)
	}()
	broken, err := play(p, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.add("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// startFleet starts runners and machines in three zones and waits until the machines are ready.
func (p *platform) startFleet(vms, memoryMB, runners, events int, pause time.Duration, maxTokens int) ([]*runner, error) {
	p.configure(7, maxTokens)
	zones := []string{"mitte-a", "mitte-b", "mitte-c"}
	var all []*runner
	for i := range runners {
		r, err := p.addRunner(fmt.Sprintf("i-7f3a91c%x", i), zones[i%len(zones)], events, pause)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	free, err := ports("127.0.1.1", 4)
	if err != nil {
		return nil, err
	}
	for i := range vms {
		if err := p.addVM(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zones[i%len(zones)], memoryMB, free); err != nil {
			return nil, err
		}
	}
	if !p.waitReady(10 * time.Second) {
		return nil, fmt.Errorf("the machines are not ready after 10 s")
	}
	return all, nil
}
