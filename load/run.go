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

// warmUp is the time between the submission of the batch job and the begin of the measurement.
const warmUp = 4 * time.Second

// Run measures one variant.
func Run(cfg Config, v Variant) (Result, error) {
	p, err := startAll(cfg, v)
	if err != nil {
		return Result{}, err
	}
	defer p.stop()
	if err := p.prepare(); err != nil {
		return Result{}, err
	}
	job := ""
	if v.Batch {
		if job, err = p.submit(cfg); err != nil {
			return Result{}, err
		}
	}
	time.Sleep(warmUp)
	if cfg.SlowRunner != 0 {
		if err := p.slowDown(cfg.SlowRunner); err != nil {
			return Result{}, err
		}
	}
	return p.measure(cfg, v, job)
}

// prepare files the tickets and waits until all VMs have them.
func (p *processes) prepare() error {
	if err := p.waitReady(); err != nil {
		return err
	}
	ticket := map[string]any{"number": 1, "operator": "load", "deployment": map[string]any{
		"name": "tutor", "service": group, "model": model, "version": version,
	}}
	var err error
	for range 20 {
		if err = send(p.vms[0].address, "/v1/tickets", ticket, nil); err == nil || strings.Contains(err.Error(), "412") {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err != nil {
		return errors.Wrap(err, "ticket")
	}
	for _, v := range p.vms {
		for {
			var got []json.RawMessage
			if err := get(v.address, "/v1/tickets", &got); err != nil {
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

// submit submits as many items as the runners could do in twice the run's time.
func (p *processes) submit(cfg Config) (id string, err error) {
	each := float64(promptBytes)/float64(prefillRate) + float64(batchTok)*0.031
	n := min(int(2*(cfg.Length.Std()+warmUp).Seconds()/each*float64(cfg.Site.Runners)*float64(slots)), 20_000)
	items := make([]any, n)
	for i := range items {
		items[i] = map[string]any{"model": model, "version": version, "prompt": "log note " + makePrompt(cfg.Seed, i), "maxTokens": batchTok}
	}
	var got struct {
		ID string `json:"id"`
	}
	for range 20 {
		if err = send(p.vms[1].address, "/v1/jobs", map[string]any{"tenant": "mill", "key": "night", "items": items}, &got); err == nil {
			return got.ID, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return "", errors.Wrap(err, "job")
}

// measure sends the online load and gathers the figures.
func (p *processes) measure(cfg Config, v Variant, job string) (Result, error) {
	c := &callers{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3))}
	for _, x := range p.vms {
		c.vms = append(c.vms, x.address)
	}
	length := cfg.Length.Std()
	before, err := p.processorTime()
	if err != nil {
		return Result{}, err
	}
	begin := cs.Instant(time.Now().UnixMilli())
	doneBefore := p.doneItems(job)
	if cfg.Outage {
		stop := time.AfterFunc(length/3, func() { p.signalHalf(syscall.SIGSTOP) })
		resume := time.AfterFunc(2*length/3, func() { p.signalHalf(syscall.SIGCONT) })
		defer stop.Stop()
		defer resume.Stop()
	}
	c.run(length)
	end := cs.Instant(time.Now().UnixMilli())
	after, err := p.processorTime()
	if err != nil {
		return Result{}, err
	}
	r := Result{Variant: v, Config: cfg, outcomes: c.seen, Took: end.Sub(begin)}
	r.Items = p.doneItems(job) - doneBefore
	r.Processor = float64(after-before) / float64(end.Sub(begin).Std()) / float64(len(p.vms))
	if err := p.readJournals(&r, begin, end); err != nil {
		return r, err
	}
	if err := p.readMetrics(&r); err != nil {
		return r, err
	}
	return r, nil
}

// doneItems returns how many items of the job are done.
func (p *processes) doneItems(job string) int {
	if job == "" {
		return 0
	}
	var got struct {
		Done int `json:"done"`
	}
	if err := get(p.vms[0].address, "/v1/jobs/"+job+"?tenant=mill", &got); err != nil {
		return 0
	}
	return got.Done
}

// readJournals adds up the time for which requests held slots, by class.
func (p *processes) readJournals(r *Result, begin, end cs.Instant) error {
	r.SlotTime = cs.Span(len(p.runners)) * cs.Span(slots) * end.Sub(begin)
	for _, x := range p.runners {
		text, err := os.ReadFile(x.journal)
		if err != nil {
			return err
		}
		open := map[cs.RequestID]cs.Instant{}
		for line := range bytes.Lines(text) {
			var e standin.JournalEntry
			if json.Unmarshal(line, &e) != nil {
				continue
			}
			if e.Event == standin.JournalStart {
				open[e.ID] = e.At
				if strings.HasPrefix(string(e.ID), "item-") {
					r.BatchRuns++
				} else {
					r.OnlineRuns++
				}
				continue
			}
			if at, ok := open[e.ID]; ok {
				delete(open, e.ID)
				r.hold(e.ID, max(at, begin), min(e.At, end))
				if e.Event == standin.JournalCancel && strings.HasPrefix(string(e.ID), "item-") {
					r.BatchStopped++
				}
			}
		}
		for id, at := range open {
			r.hold(id, max(at, begin), end)
		}
	}
	return nil
}

// readMetrics adds up what the daemons counted.
func (p *processes) readMetrics(r *Result) error {
	r.Counters = map[string]float64{}
	for _, v := range p.vms {
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
