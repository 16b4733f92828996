package load

import (
	"io"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

// Config describes a run.
type Config struct {
	// Site is the deployment whose sizes are used.
	Site Site
	// Length is the measured time of each variant.
	Length cs.Span
	// Utilisation is the share of all slots that online requests hold on average.
	Utilisation cs.Ratio
	// Weight is the setting of the same name: 0 for throughput first, 1 for latency first.
	Weight cs.Ratio
	// SlowRunner makes one runner in six slow by this factor; 0 makes none slow.
	SlowRunner float64
	// Outage stops half of the runners for the second third of the run.
	Outage bool
	// Seed determines arrivals and prompts.
	Seed uint64
	// Programs is the folder of the programs crocusstiled and standin.
	Programs string
	// Dir is a folder for settings, journals and logs.
	Dir string
	// Log gets a line for each step.
	Log io.Writer
}

// Site is the size of a deployment.
type Site struct {
	// Name is that of the tenant that runs it.
	Name string
	// DataCentres are the names of the data centres.
	DataCentres []string
	// VMs, Runners and Services are the numbers in all data centres together.
	VMs, Runners, Services int
}

// Hebewerk is the training platform of the brief's sizes.
var Hebewerk = Site{Name: "hebewerk", DataCentres: []string{"muc-a", "muc-b", "nue-a", "aug-a"}, VMs: 16, Runners: 12, Services: 4}

// Verein is the log reading service of the brief's sizes.
var Verein = Site{Name: "verein", DataCentres: []string{"mitte-a", "mitte-b", "mitte-c"}, VMs: 16, Runners: 18, Services: 3}

// The stand-in runners: a step of 31 to 38 ms and a prefill of 20 ms for a prompt of 2,000 bytes
// (about 500 tokens at 25,000 a second), as for a mid-size model on one accelerator. The prefill of a
// request lengthens the step of all that run beside it.
const (
	slots       cs.Slots     = 8
	stepBase                 = 30 * cs.Millisecond
	stepEach                 = cs.Millisecond
	prefillRate cs.PerSecond = 100_000
	promptBytes              = 2000
	onlineTok   cs.Tokens    = 30
	batchTok    cs.Tokens    = 20
)

// slotTime is the time for which an online request holds a slot.
const slotTime = cs.Span(float64(promptBytes)/float64(prefillRate)*1000) + cs.Span(onlineTok)*35*cs.Millisecond

// Variant is one of the policies that a run compares.
type Variant struct {
	Name   string
	Policy fleet.Policy
	// Batch tells whether a batch job runs beside the online load.
	Batch bool
}

// Variants returns what a run compares: no batch at all, round robin without classes, the policy.
func Variants() []Variant {
	return []Variant{
		{Name: "no batch"},
		{Name: "round robin", Policy: fleet.Policy{RoundRobin: true, NoClasses: true}, Batch: true},
		{Name: "policy", Batch: true},
	}
}
