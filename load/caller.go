package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// askLimit bounds one request of the load.
const askLimit = 60 * cs.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// send posts JSON; out may be nil.
func send(to cs.Address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := client.Post("http://"+string(to)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(resp, out)
}

// get reads JSON; out may be nil.
func get(from cs.Address, path string, out any) error {
	resp, err := client.Get("http://" + string(from) + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decode(resp, out)
}

// decode reads a response; out may be nil.
func decode(resp *http.Response, out any) error {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s: %s", resp.Status, text)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// outcome is what one online request saw.
type outcome struct {
	tenant string
	// begin is since the begin of the measured time.
	begin, first, gap time.Duration
	burst             bool
	err               error
}

// callers sends the online load, open-loop: arrivals do not wait for answers.
type callers struct {
	cfg  Config
	vms  []cs.Address
	rng  *rand.Rand
	mu   sync.Mutex
	seen []outcome
	wg   sync.WaitGroup
}

// Bursts: each sixth of the run begins with one, of the given length and factor.
const (
	burstParts  = 6
	burstShare  = 0.2
	burstFactor = 2.5
)

// rate returns the arrivals a second at a point of the run, and whether it is in a burst.
func (c *callers) rate(at, length time.Duration) (perSecond float64, burst bool) {
	all := float64(c.cfg.Site.Runners) * float64(slots)
	mean := all * float64(c.cfg.Utilisation) / (float64(slotTime) / 1000)
	// The calm rate makes up for the bursts, so that the mean holds.
	calm := mean / (1 + burstShare*(burstFactor-1))
	part := length / burstParts
	if float64(at%part) < burstShare*float64(part) && at >= part {
		return calm * burstFactor, true
	}
	return calm, false
}

// run sends requests for the given time and waits for all answers.
func (c *callers) run(length time.Duration) {
	begin := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		perSecond, burst := c.rate(next, length)
		next += time.Duration(c.rng.ExpFloat64() / perSecond * float64(time.Second))
		if next >= length {
			break
		}
		time.Sleep(time.Until(begin.Add(next)))
		vm, at := c.vms[c.rng.IntN(len(c.vms))], next
		tenant := "school-" + string(rune('a'+c.rng.IntN(4)))
		prompt := makePrompt(c.cfg.Seed, i)
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			o := ask(vm, tenant, prompt)
			o.begin, o.burst, o.tenant = at, burst, tenant
			c.mu.Lock()
			c.seen = append(c.seen, o)
			c.mu.Unlock()
		}()
	}
	c.wg.Wait()
}

// makePrompt returns a prompt of promptBytes bytes that no other request has.
func makePrompt(seed uint64, i int) string {
	head := fmt.Sprintf("question %d of run %d: ", i, seed)
	return head + strings.Repeat("how do I lift this crate? ", promptBytes/26+1)[:promptBytes-len(head)]
}

// ask streams one answer, checks that it is whole and measures it.
func ask(vm cs.Address, tenant, prompt string) outcome {
	body, err := json.Marshal(map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": onlineTok})
	if err != nil {
		return outcome{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), askLimit.Std())
	defer cancel()
	begin := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(vm)+"/v1/ask", bytes.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return outcome{err: errors.Newf("%s: %s", resp.Status, text)}
	}
	return readAnswer(resp.Body, begin, prompt)
}

// readAnswer reads a stream to its end marker and checks that the answer is whole.
func readAnswer(r io.Reader, begin time.Time, prompt string) outcome {
	a, err := standin.ReadAnswer(r)
	o := outcome{err: err}
	if !a.First.IsZero() {
		o.first = a.First.Sub(begin)
	}
	switch {
	case err != nil:
	case a.Failure != nil:
		o.err = errors.Newf("the answer broke off: %s", a.Failure)
	case a.Text != standin.ExpectedText(model, "", version, prompt, int(onlineTok)):
		o.err = errors.New("the answer is not whole")
	default:
		o.gap = (time.Since(begin) - o.first) / time.Duration(onlineTok-1)
	}
	return o
}
