package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// warmUp is the time between the submission of the batch job and the start of the measurement.
const warmUp = 4 * time.Second

// Run starts the programs of a site, measures one variant and stops the programs.
func Run(cfg Config, v Variant) (Result, error) {
	c, err := startCluster(cfg, v)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	if err := c.prepare(); err != nil {
		return Result{}, err
	}
	job := ""
	if v.Batch {
		if job, err = c.submitJob(cfg); err != nil {
			return Result{}, err
		}
	}
	time.Sleep(warmUp)
	if cfg.SlowFactor != 0 {
		if err := c.slowRunners(cfg.SlowFactor); err != nil {
			return Result{}, err
		}
	}
	return c.measure(cfg, v, job)
}

// prepare files the ticket of the deployment and waits until it is in force on all VMs.
func (c *cluster) prepare() error {
	if err := c.waitReady(); err != nil {
		return err
	}
	ticket := map[string]any{"number": 1, "operator": "load", "deployment": map[string]any{
		"name": "tutor", "service": modelService, "model": model, "version": version,
	}}
	var err error
	for range 20 {
		// Status 412 means that a newer ticket is in force, so that another attempt would fail as well.
		if err = postJSON(c.vms[0].address, "/v1/tickets", ticket, nil); err == nil || strings.Contains(err.Error(), "412") {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	for _, v := range c.vms {
		for {
			var got []json.RawMessage
			if err := getJSON(v.address, "/v1/tickets", &got); err != nil {
				return err
			}
			if len(got) == 1 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// submitJob submits as many items as the runners could complete in twice the time of the run, but
// at most 20,000.
func (c *cluster) submitJob(cfg Config) (id string, err error) {
	// The time of an item is at least its prefill and, for each token, the shortest step: 31 ms, with
	// only one request on the runner.
	itemSeconds := float64(promptBytes)/float64(prefillRate) + float64(batchTokens)*0.031
	n := min(int(2*(cfg.Duration.Std()+warmUp).Seconds()/itemSeconds*float64(cfg.Site.Runners)*float64(slotsPerRunner)), 20_000)
	items := make([]any, n)
	for i := range items {
		items[i] = map[string]any{"model": model, "version": version, "prompt": "log note " + makePrompt(cfg.Seed, i), "maxTokens": batchTokens}
	}
	var got struct {
		ID string `json:"id"`
	}
	for range 20 {
		if err = postJSON(c.vms[1].address, "/v1/jobs", map[string]any{"tenant": "mill", "key": "night", "items": items}, &got); err == nil {
			return got.ID, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return "", errors.Wrap(err, "job")
}

// measure sends the online load and collects the measurements.
func (c *cluster) measure(cfg Config, v Variant, job string) (Result, error) {
	generator := &loadGenerator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3))}
	for _, vm := range c.vms {
		generator.vms = append(generator.vms, vm.address)
	}
	length := cfg.Duration.Std()
	cpuBefore, err := c.cpuTime()
	if err != nil {
		return Result{}, err
	}
	start := cs.Instant(time.Now().UnixMilli())
	doneBefore := c.countDoneItems(job)
	if cfg.Outage {
		stop := time.AfterFunc(length/3, func() { c.signalHalfOfRunners(syscall.SIGSTOP) })
		resume := time.AfterFunc(2*length/3, func() { c.signalHalfOfRunners(syscall.SIGCONT) })
		defer stop.Stop()
		defer resume.Stop()
	}
	generator.run(length)
	end := cs.Instant(time.Now().UnixMilli())
	cpuAfter, err := c.cpuTime()
	if err != nil {
		return Result{}, err
	}
	r := Result{Variant: v, Config: cfg, outcomes: generator.collected, Elapsed: end.Sub(start)}
	r.Items = c.countDoneItems(job) - doneBefore
	r.CPUShare = float64(cpuAfter-cpuBefore) / float64(end.Sub(start).Std()) / float64(len(c.vms))
	if err := c.readJournals(&r, start, end); err != nil {
		return r, err
	}
	if err := c.readMetrics(&r); err != nil {
		return r, err
	}
	return r, nil
}

// countDoneItems returns the number of items of the job that are done, or 0 if the VM does not
// report it.
func (c *cluster) countDoneItems(job string) int {
	if job == "" {
		return 0
	}
	var got struct {
		Done int `json:"done"`
	}
	if err := getJSON(c.vms[0].address, "/v1/jobs/"+job+"?tenant=mill", &got); err != nil {
		return 0
	}
	return got.Done
}

// readJournals adds up, by class, the time for which requests occupied slots and the attempts.
// Attempts that have not ended count until the end of the measurement.
func (c *cluster) readJournals(r *Result, start, end cs.Instant) error {
	r.SlotTime = cs.Span(len(c.runners)) * cs.Span(slotsPerRunner) * end.Sub(start)
	for _, runner := range c.runners {
		text, err := os.ReadFile(runner.journal)
		if err != nil {
			return err
		}
		running := map[cs.RequestID]cs.Instant{}
		for line := range bytes.Lines(text) {
			var e standin.JournalEntry
			if json.Unmarshal(line, &e) != nil {
				continue
			}
			if e.Event == standin.JournalStart {
				running[e.ID] = e.At
				if strings.HasPrefix(string(e.ID), "item-") {
					r.BatchAttempts++
				} else {
					r.OnlineAttempts++
				}
				continue
			}
			if at, ok := running[e.ID]; ok {
				delete(running, e.ID)
				r.addSlotTime(e.ID, max(at, start), min(e.At, end))
				if e.Event == standin.JournalCancel && strings.HasPrefix(string(e.ID), "item-") {
					r.BatchCancelled++
				}
			}
		}
		for id, at := range running {
			r.addSlotTime(id, max(at, start), end)
		}
	}
	return nil
}

// readMetrics adds up the counters of all daemons.
func (c *cluster) readMetrics(r *Result) error {
	r.Counters = map[string]float64{}
	for _, v := range c.vms {
		resp, err := client.Get("http://" + string(v.address) + "/metrics")
		if err != nil {
			return err
		}
		var text bytes.Buffer
		_, err = text.ReadFrom(resp.Body)
		if err := errors.CombineErrors(err, resp.Body.Close()); err != nil {
			return err
		}
		for line := range strings.Lines(text.String()) {
			var value float64
			name, rest, ok := strings.Cut(line, "{")
			if !ok || !strings.HasSuffix(name, "_total") {
				continue
			}
			if _, err := fmt.Sscanf(rest[strings.LastIndexByte(rest, '}')+1:], "%g", &value); err == nil {
				r.Counters[strings.TrimPrefix(name, "crocusstile_")] += value
			}
		}
	}
	return nil
}
