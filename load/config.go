package load

import (
	"io"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Config configures a run.
type Config struct {
	// Site gives the data centres and the numbers of machines.
	Site Site
	// Duration is the measured time of each variant.
	Duration cs.Span
	// Utilisation is the share of all slots that online requests occupy on average.
	Utilisation cs.Ratio
	// Weight is the setting of the same name: 0 for throughput first, 1 for latency first.
	Weight cs.Ratio
	// SlowFactor is the factor by which one runner in six is slowed down; 0 slows none.
	SlowFactor float64
	// Outage stops half of the runners during the second third of the run.
	Outage bool
	// Seed determines the arrival times and the prompts.
	Seed uint64
	// BinDir is the folder with the programs crocusstiled and standin.
	BinDir string
	// Dir is the folder for settings, journals and logs.
	Dir string
	// Log receives one line for each step.
	Log io.Writer
}

// Site describes the data centres of a tenant's site and the numbers of machines in them.
type Site struct {
	// Name is the name of the tenant that operates the site.
	Name string
	// DataCentres are the names of the data centres.
	DataCentres []string
	// VMs, Runners and Services are the totals over all data centres.
	VMs, Runners, Services int
}

// Hebewerk is the training platform, with the sizes given in the requirements.
var Hebewerk = Site{Name: "hebewerk", DataCentres: []string{"muc-a", "muc-b", "nue-a", "aug-a"}, VMs: 16, Runners: 12, Services: 4}

// Verein is the service that reads shift logs, with the sizes given in the requirements.
var Verein = Site{Name: "verein", DataCentres: []string{"mitte-a", "mitte-b", "mitte-c"}, VMs: 16, Runners: 18, Services: 3}

// The stand-in runners behave like a mid-size model on one accelerator: a step takes 31 to 38 ms,
// and the prefill of a prompt of 2,000 bytes (about 500 tokens at 25,000 per second) takes 20 ms.
// The prefill of a request lengthens the current step of all requests on the same runner.
const (
	slotsPerRunner cs.Slots     = 8
	stepBase                    = 30 * cs.Millisecond
	stepPerRequest              = cs.Millisecond
	prefillRate    cs.PerSecond = 100_000
	promptBytes                 = 2000
	onlineTokens   cs.Tokens    = 30
	batchTokens    cs.Tokens    = 20
)

// onlineSlotTime is the time for which an online request occupies a slot: the prefill, and a step
// of about 35 ms for each token.
const onlineSlotTime = cs.Span(float64(promptBytes)/float64(prefillRate)*1000) + cs.Span(onlineTokens)*35*cs.Millisecond

// Variant is one of the policies that a run compares.
type Variant struct {
	Name   string
	Policy fleet.Policy
	// Batch reports whether a batch job runs together with the online load.
	Batch bool
}

// Variants returns the variants to compare: no batch work, round robin without classes, and the
// policy.
func Variants() []Variant {
	return []Variant{
		{Name: "no batch"},
		{Name: "round robin", Policy: fleet.Policy{RoundRobin: true, NoClasses: true}, Batch: true},
		{Name: "policy", Batch: true},
	}
}
