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

// requestTimeout limits the duration of one online request.
const requestTimeout = 60 * cs.Second

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// postJSON posts a value as JSON and decodes the response into out, which may be nil.
func postJSON(addr cs.Address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	resp, err := client.Post("http://"+string(addr)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, out)
}

// getJSON sends a GET request and decodes the response into out, which may be nil.
func getJSON(addr cs.Address, path string, out any) error {
	resp, err := client.Get("http://" + string(addr) + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, out)
}

// decodeResponse decodes a JSON response into out, which may be nil, and returns an error response
// as an error.
func decodeResponse(resp *http.Response, out any) error {
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

// outcome is the result of one online request, with the times that the caller measured.
type outcome struct {
	tenant string
	// start is the time of the request since the start of the measurement; firstToken is the time
	// to the first token, and tokenGap the mean time between the later ones.
	start, firstToken, tokenGap time.Duration
	burst                       bool
	err                         error
}

// loadGenerator sends the online requests as an open loop: arrivals do not wait for earlier
// responses.
type loadGenerator struct {
	cfg       Config
	vms       []cs.Address
	rng       *rand.Rand
	mu        sync.Mutex
	collected []outcome
	wg        sync.WaitGroup
}

// The run is divided into burstPeriods equal periods. Each but the first begins with a burst, which
// takes burstShare of the period and has burstFactor times the base rate.
const (
	burstPeriods = 6
	burstShare   = 0.2
	burstFactor  = 2.5
)

// arrivalRate returns the arrivals per second at a time of the run, and whether that is in a burst.
func (g *loadGenerator) arrivalRate(at, length time.Duration) (perSecond float64, burst bool) {
	totalSlots := float64(g.cfg.Site.Runners) * float64(slotsPerRunner)
	meanRate := totalSlots * float64(g.cfg.Utilisation) / (float64(onlineSlotTime) / 1000)
	// The rate between bursts is lower, so that the mean over a period with a burst is meanRate.
	baseRate := meanRate / (1 + burstShare*(burstFactor-1))
	period := length / burstPeriods
	if float64(at%period) < burstShare*float64(period) && at >= period {
		return baseRate * burstFactor, true
	}
	return baseRate, false
}

// run sends requests for the given time and waits for all responses.
func (g *loadGenerator) run(length time.Duration) {
	start := time.Now()
	next := time.Duration(0)
	for i := 0; ; i++ {
		perSecond, burst := g.arrivalRate(next, length)
		next += time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
		if next >= length {
			break
		}
		time.Sleep(time.Until(start.Add(next)))
		vm, at := g.vms[g.rng.IntN(len(g.vms))], next
		tenant := "school-" + string(rune('a'+g.rng.IntN(4)))
		prompt := makePrompt(g.cfg.Seed, i)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			o := ask(vm, tenant, prompt)
			o.start, o.burst, o.tenant = at, burst, tenant
			g.mu.Lock()
			g.collected = append(g.collected, o)
			g.mu.Unlock()
		}()
	}
	g.wg.Wait()
}

// makePrompt returns a prompt of promptBytes bytes that is unique within the run.
func makePrompt(seed uint64, i int) string {
	// The repeated sentence has 26 bytes.
	head := fmt.Sprintf("question %d of run %d: ", i, seed)
	return head + strings.Repeat("how do I lift this crate? ", promptBytes/26+1)[:promptBytes-len(head)]
}

// ask sends one request, checks that the streamed response is complete and measures it.
func ask(vm cs.Address, tenant, prompt string) outcome {
	body, err := json.Marshal(map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": onlineTokens})
	if err != nil {
		return outcome{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout.Std())
	defer cancel()
	start := time.Now()
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
	return readStream(resp.Body, start, prompt)
}

// readStream reads a stream to its end marker and compares the text with the expected one.
func readStream(r io.Reader, start time.Time, prompt string) outcome {
	response, err := standin.ReadStream(r)
	o := outcome{err: err}
	if !response.FirstEventAt.IsZero() {
		o.firstToken = response.FirstEventAt.Sub(start)
	}
	switch {
	case err != nil:
	case response.Failure != nil:
		o.err = errors.Newf("the response ended with an error: %s", response.Failure)
	case response.Text != standin.ExpectedText(model, "", version, prompt, int(onlineTokens)):
		o.err = errors.New("the response differs from the expected text")
	default:
		o.tokenGap = (time.Since(start) - o.firstToken) / time.Duration(onlineTokens-1)
	}
	return o
}
