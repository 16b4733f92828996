package load

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	cs "github.com/crocusstile/crocusstile"
)

// Result holds the measurements of one variant.
type Result struct {
	Variant  Variant
	Config   Config
	Elapsed  cs.Span
	outcomes []outcome
	// Items is the number of batch items that ended within the measured time.
	Items int
	// SlotTime is the time of all slots; OnlineTime and BatchTime are the parts that each class
	// occupied.
	SlotTime, OnlineTime, BatchTime cs.Span
	// OnlineAttempts and BatchAttempts count attempts that started on runners; BatchCancelled counts
	// cancelled batch attempts.
	OnlineAttempts, BatchAttempts, BatchCancelled int
	// CPUShare is the mean share of a core that a daemon used.
	CPUShare float64
	// Counters holds the sums of the counters over all daemons.
	Counters map[string]float64
}

// addSlotTime adds the time for which a request occupied a slot to that of its class.
func (r *Result) addSlotTime(id cs.RequestID, from, to cs.Instant) {
	if to <= from {
		return
	}
	if strings.HasPrefix(string(id), "item-") {
		r.BatchTime += to.Sub(from)
		return
	}
	r.OnlineTime += to.Sub(from)
}

// SpareCapacityUsed returns the share that batch work occupied of the slot time that online requests
// left free.
func (r *Result) SpareCapacityUsed() float64 {
	return float64(r.BatchTime) / float64(max(r.SlotTime-r.OnlineTime, 1))
}

// Errors returns the number of requests without a complete response.
func (r *Result) Errors() int {
	n := 0
	for _, o := range r.outcomes {
		if o.err != nil {
			n++
		}
	}
	return n
}

// FirstErrors returns the messages of up to three errors.
func (r *Result) FirstErrors() []string {
	var list []string
	for _, o := range r.outcomes {
		if o.err != nil && len(list) < 3 {
			list = append(list, o.err.Error())
		}
	}
	return list
}

// firstTokenTimes returns the sorted times to the first token of the requests that keep selects.
func (r *Result) firstTokenTimes(keep func(outcome) bool) []time.Duration {
	return r.sortedValues(func(o outcome) time.Duration { return o.firstToken }, keep)
}

// sortedValues returns a sorted value of each successful request that keep selects.
func (r *Result) sortedValues(value func(outcome) time.Duration, keep func(outcome) bool) []time.Duration {
	var list []time.Duration
	for _, o := range r.outcomes {
		if o.err == nil && keep(o) {
			list = append(list, value(o))
		}
	}
	slices.Sort(list)
	return list
}

func anyOutcome(outcome) bool { return true }

// quantile returns the q-quantile of a sorted list by the nearest-rank method, or 0 for an empty
// list.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

// FirstToken returns a quantile of the time to the first token.
func (r *Result) FirstToken(q float64) time.Duration {
	return quantile(r.firstTokenTimes(anyOutcome), q)
}

// TokenGap returns a quantile of the mean time between the tokens of a response.
func (r *Result) TokenGap(q float64) time.Duration {
	return quantile(r.sortedValues(func(o outcome) time.Duration { return o.tokenGap }, anyOutcome), q)
}

// BurstFirstToken returns a quantile of the time to the first token of requests that arrived in
// bursts.
func (r *Result) BurstFirstToken(q float64) time.Duration {
	return quantile(r.firstTokenTimes(func(o outcome) bool { return o.burst }), q)
}

// WriteTable writes the results as a table in Markdown.
func WriteTable(w io.Writer, results []Result) error {
	rows := [][]string{{
		"variant", "requests", "no answer", "first token p50", "p95", "p99", "burst p50", "burst p99",
		"gap p50", "p95", "p99", "items/s", "leftover used", "stopped runs", "retries and hedges", "core per VM",
	}}
	for _, r := range results {
		ms := func(d time.Duration) string { return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond)) }
		rows = append(rows, []string{
			r.Variant.Name, fmt.Sprint(len(r.outcomes)), fmt.Sprint(r.Errors()),
			ms(r.FirstToken(0.5)), ms(r.FirstToken(0.95)), ms(r.FirstToken(0.99)),
			ms(r.BurstFirstToken(0.5)), ms(r.BurstFirstToken(0.99)),
			ms(r.TokenGap(0.5)), ms(r.TokenGap(0.95)), ms(r.TokenGap(0.99)),
			fmt.Sprintf("%.1f", float64(r.Items)/r.Elapsed.Std().Seconds()), fmt.Sprintf("%.0f%%", 100*r.SpareCapacityUsed()),
			fmt.Sprint(r.BatchCancelled), fmt.Sprintf("%.0f", r.Counters["retries_total"]+r.Counters["hedges_total"]),
			fmt.Sprintf("%.1f%%", 100*r.CPUShare),
		})
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	for i, row := range rows {
		if _, err := fmt.Fprintf(t, "| %s |\n", strings.Join(row, "\t| ")); err != nil {
			return err
		}
		if i == 0 {
			if _, err := fmt.Fprintf(t, "|%s\n", strings.Repeat(" ---\t|", len(row)-1)+" --- |"); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// WriteTenantTable writes the times to the first token by tenant as a table in Markdown.
func WriteTenantTable(w io.Writer, results []Result) error {
	if _, err := fmt.Fprint(w, "| variant | tenant | requests | first token p50 | p95 | p99 |\n| --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, r := range results {
		tenants := map[string]bool{}
		for _, o := range r.outcomes {
			tenants[o.tenant] = true
		}
		names := make([]string, 0, len(tenants))
		for name := range tenants {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			f := r.firstTokenTimes(func(o outcome) bool { return o.tenant == name })
			if _, err := fmt.Fprintf(w, "| %s | %s | %d | %d ms | %d ms | %d ms |\n", r.Variant.Name, name, len(f),
				quantile(f, 0.5).Milliseconds(), quantile(f, 0.95).Milliseconds(), quantile(f, 0.99).Milliseconds()); err != nil {
				return err
			}
		}
	}
	return nil
}

// PlotFirstToken draws the cumulative distribution of the time to the first token of each variant
// as a PNG file.
func PlotFirstToken(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Time to the first token, online requests"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests"
	p.Legend.Top = false
	var lines []any
	for _, r := range results {
		f := r.firstTokenTimes(anyOutcome)
		points := make(plotter.XYs, len(f))
		for i, d := range f {
			points[i].X = float64(d) / float64(time.Millisecond)
			points[i].Y = float64(i+1) / float64(len(f))
		}
		lines = append(lines, r.Variant.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// Target is a required bound on a value that a run measures.
type Target struct {
	Name            string
	Measured, Bound float64
	// AtLeast means that Bound is a lower bound; otherwise it is an upper bound.
	AtLeast bool
}

// Met reports whether the measured value is within the bound.
func (t Target) Met() bool {
	if t.AtLeast {
		return cmp.Compare(t.Measured, t.Bound) >= 0
	}
	return cmp.Compare(t.Measured, t.Bound) <= 0
}

// Targets compares the policy with the variant without batch work; both must be among the results.
func Targets(results []Result) []Target {
	var noBatch, policy *Result
	for i := range results {
		switch results[i].Variant.Name {
		case "no batch":
			noBatch = &results[i]
		case "policy":
			policy = &results[i]
		}
	}
	if noBatch == nil || policy == nil {
		return nil
	}
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
	return []Target{
		{"first token p99 with batch over without", ratio(policy.FirstToken(0.99), noBatch.FirstToken(0.99)), 1.10, false},
		{"first token p50 of bursts over unloaded", ratio(policy.BurstFirstToken(0.5), noBatch.FirstToken(0.5)), 1.25, false},
		{"share of the leftover capacity used", policy.SpareCapacityUsed(), 0.85, true},
		{"first token p95 in seconds", policy.FirstToken(0.95).Seconds(), 1.6, false},
		{"token gap p95 in seconds", policy.TokenGap(0.95).Seconds(), 0.069, false},
	}
}
