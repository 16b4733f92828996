// Command loadgen puts load on daemons with stand-in runners and compares the scheduling policy with
// its baselines. It needs the programs crocusstiled and standin in a folder:
//
//	go build -o bin/ ./cmd/crocusstiled ./cmd/standin
//	go run ./cmd/loadgen -programs bin -site hebewerk -length 30s
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/load"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

// run parses the flags and runs the comparison.
func run() error {
	cfg := load.Config{Duration: 30 * cs.Second, Log: os.Stderr}
	site := flag.String("site", "hebewerk", "site: hebewerk or verein")
	flag.TextVar(&cfg.Duration, "length", cfg.Duration, "measured `time` of each variant")
	utilisation := flag.Float64("utilisation", 0.3, "`share` of the slots that online requests occupy")
	weight := flag.Float64("weight", -1, "weight of latency, from 0 (throughput first) to 1 (latency first); by default that of the site")
	flag.Float64Var(&cfg.SlowFactor, "slow", 0, "`factor` by which one runner in six is slowed down; 0 slows none")
	flag.BoolVar(&cfg.Outage, "outage", false, "stop half of the runners with SIGSTOP during the second third of the run")
	flag.Uint64Var(&cfg.Seed, "seed", 1, "seed of the arrival times and prompts")
	flag.StringVar(&cfg.BinDir, "programs", "bin", "`folder` with the programs crocusstiled and standin")
	out := flag.String("out", "out", "`folder` for the table, the plot, settings and journals")
	flag.Parse()
	switch *site {
	case "hebewerk":
		cfg.Site, cfg.Weight = load.Hebewerk, 0.7
	case "verein":
		cfg.Site, cfg.Weight = load.Verein, 0.3
	default:
		return errors.Newf("-site: %q is neither hebewerk nor verein", *site)
	}
	if *weight >= 0 {
		cfg.Weight = cs.Ratio(*weight)
	}
	cfg.Utilisation = cs.Ratio(*utilisation)
	cfg.Dir = filepath.Join(*out, *site)
	return compareVariants(cfg)
}

// compareVariants runs all variants and writes the tables, the targets and the plot.
func compareVariants(cfg load.Config) error {
	if err := os.RemoveAll(cfg.Dir); err != nil {
		return err
	}
	var results []load.Result
	for _, v := range load.Variants() {
		fmt.Fprintf(cfg.Log, "%s: %s, %s, seed %d\n", cfg.Site.Name, v.Name, cfg.Duration, cfg.Seed)
		r, err := load.Run(cfg, v)
		if err != nil {
			return errors.Wrap(err, v.Name)
		}
		for _, text := range r.FirstErrors() {
			fmt.Fprintf(cfg.Log, "  %s\n", text)
		}
		results = append(results, r)
	}
	if err := load.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := load.WriteTenantTable(os.Stdout, results); err != nil {
		return err
	}
	for _, t := range load.Targets(results) {
		fmt.Printf("%s: %.3f, target %.3f, met: %t\n", t.Name, t.Measured, t.Bound, t.Met())
	}
	return load.PlotFirstToken(filepath.Join(cfg.Dir, "first-token.png"), results)
}
