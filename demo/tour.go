package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/standin"
)

// notes is the number of log notes of the batch job.
const notes = 120

// jobLimit bounds the time of the batch job.
const jobLimit = 2 * cs.Minute

// tour shows one after the other what the system does and checks it.
type tour struct {
	out    io.Writer
	site   *site
	client *http.Client
	base   string
}

func newTour(out io.Writer, s *site) *tour {
	return &tour{out: out, site: s, client: &http.Client{}, base: "http://" + s.front.Addr().String()}
}

// run takes all steps; the first that goes wrong ends it.
func (t *tour) run(ctx context.Context) error {
	defer t.client.CloseIdleConnections()
	for _, step := range []func(context.Context) error{
		t.waitReady, t.fileTickets, t.lesson, t.shift, t.mark, t.batch,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// say prints a line; the demonstration goes on if nobody reads it.
func (t *tour) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

// waitReady waits until the daemon has read the platform's list.
func (t *tour) waitReady(ctx context.Context) error {
	for range 100 {
		if t.do(ctx, http.MethodGet, "/readyz", nil, nil) == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the daemon was not ready after 5 s")
}

// fileTickets puts a deployment and a service in force.
func (t *tour) fileTickets(ctx context.Context) error {
	tickets := []any{
		map[string]any{"number": 1, "operator": "demo", "deployment": map[string]any{
			"name": "tutor", "service": "tutor-models", "model": model, "version": version, "minRunners": runners,
		}},
		map[string]any{"number": 2, "operator": "demo", "service": map[string]any{
			"name": "records-app", "nonIdempotent": []string{"registerMark"}, "timeoutMs": 5000,
		}},
	}
	for _, ticket := range tickets {
		began := time.Now()
		var got struct {
			Scope string `json:"scope"`
		}
		if err := t.do(ctx, http.MethodPost, "/v1/tickets", ticket, &got); err != nil {
			return err
		}
		t.say("ticket in force: %s after %v", got.Scope, time.Since(began).Round(time.Millisecond))
	}
	return nil
}

// lesson streams the answer to a lesson question.
func (t *tour) lesson(ctx context.Context) error {
	first, took, err := t.stream(ctx, "hebewerk", "How do I lift a crate of beer without hurting my back?", 40)
	if err != nil {
		return err
	}
	t.say("lesson question: whole answer of 40 tokens, first token after %v, all after %v", first, took)
	return nil
}

// shift asks a shift query and takes the whole answer.
func (t *tour) shift(ctx context.Context) error {
	const prompt = "Which boiler had smelt bed trouble in the last shift?"
	var got struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
		TookMs int    `json:"tookMs"`
	}
	ask := map[string]any{"tenant": "verein", "model": model, "prompt": prompt, "maxTokens": 24}
	if err := t.do(ctx, http.MethodPost, "/v1/answer", ask, &got); err != nil {
		return err
	}
	if want := standin.ExpectedText(model, "", version, prompt, 24); got.Text != want {
		return errors.Newf("shift query: got %q, want %q", got.Text, want)
	}
	t.say("shift query: whole answer of %d tokens after %d ms", got.Tokens, got.TookMs)
	return nil
}

// mark registers a mark twice under one key; it must run once.
func (t *tour) mark(ctx context.Context) error {
	call := map[string]any{
		"tenant": "hebewerk", "idempotencyKey": "mark-4711",
		"body": map[string]any{"trainee": 4711, "module": "lifting", "mark": 2},
	}
	for i := range 2 {
		var got struct {
			Joined bool `json:"joined"`
		}
		if err := t.do(ctx, http.MethodPost, "/v1/services/records-app/registerMark", call, &got); err != nil {
			return err
		}
		if got.Joined != (i == 1) {
			return errors.Newf("mark: call %d joined: %t", i+1, got.Joined)
		}
	}
	starts := 0
	for _, e := range t.site.records.Journal() {
		if e.Event == standin.JournalStart {
			starts++
		}
	}
	if starts != 1 {
		return errors.Newf("mark: registered %d times", starts)
	}
	t.say("mark: sent twice under one key, registered once")
	return nil
}

// batch runs a job beside live questions.
func (t *tour) batch(ctx context.Context) error {
	items, want := make([]any, notes), make([]string, notes)
	for i := range notes {
		prompt := fmt.Sprintf("Summarise log note %d: smelt bed even, green liquor 1.%02d.", i, i)
		items[i] = map[string]any{"model": model, "prompt": prompt, "maxTokens": 20}
		want[i] = standin.ExpectedText(model, "", version, prompt, 20)
	}
	began := time.Now()
	var job struct {
		ID string `json:"id"`
	}
	submit := map[string]any{"tenant": "verein", "key": "night-summary", "dueMs": int64(jobLimit), "items": items}
	if err := t.do(ctx, http.MethodPost, "/v1/jobs", submit, &job); err != nil {
		return err
	}
	t.say("batch job: %d log notes accepted after %v", notes, time.Since(began).Round(time.Millisecond))
	live := t.askMeanwhile(ctx)
	if err := t.waitJob(ctx, job.ID); err != nil {
		return err
	}
	firsts, err := live()
	if err != nil {
		return err
	}
	slices.Sort(firsts)
	t.say("live questions meanwhile: %d whole answers, first token after %v in the middle, %v at most",
		len(firsts), firsts[len(firsts)/2], firsts[len(firsts)-1])
	if err := t.checkResults(ctx, job.ID, want); err != nil {
		return err
	}
	t.say("batch job: %d items, each finished exactly once with its whole answer, after %v", notes, time.Since(began).Round(time.Millisecond))
	return nil
}

// askMeanwhile asks live questions until the returned function is called.
func (t *tour) askMeanwhile(ctx context.Context) func() ([]time.Duration, error) {
	stop := make(chan struct{})
	var (
		wg     sync.WaitGroup
		firsts []time.Duration
		failed error
	)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; failed == nil; i++ {
			select {
			case <-stop:
				if len(firsts) > 0 {
					return
				}
			default:
			}
			var first time.Duration
			if first, _, failed = t.stream(ctx, "hebewerk", fmt.Sprintf("Question %d about posture", i), 10); failed == nil {
				firsts = append(firsts, first)
			}
		}
	}()
	return func() ([]time.Duration, error) {
		close(stop)
		wg.Wait()
		return firsts, failed
	}
}

// waitJob waits until a job is finished.
func (t *tour) waitJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, jobLimit.Std())
	defer cancel()
	for {
		var got struct {
			State string `json:"state"`
		}
		if err := t.do(ctx, http.MethodGet, "/v1/jobs/"+id+"?tenant=verein", nil, &got); err != nil {
			return err
		}
		if got.State == cs.JobFinished.String() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkResults compares each result with what the model generates for its prompt.
func (t *tour) checkResults(ctx context.Context, id string, want []string) error {
	var got struct {
		Results []struct {
			Index  int    `json:"index"`
			State  string `json:"state"`
			Output string `json:"output"`
		} `json:"results"`
	}
	if err := t.do(ctx, http.MethodGet, "/v1/jobs/"+id+"/results?tenant=verein&limit=5000", nil, &got); err != nil {
		return err
	}
	if len(got.Results) != len(want) {
		return errors.Newf("batch job: %d results of %d", len(got.Results), len(want))
	}
	for i, r := range got.Results {
		if r.Index != i || r.State != cs.ItemDone.String() || r.Output != want[i] {
			return errors.Newf("batch job: item %d: index %d, %s, %q", i, r.Index, r.State, r.Output)
		}
	}
	return nil
}

// do sends a JSON request and reads the JSON answer.
func (t *tour) do(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, t.base+path, &body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, err := io.ReadAll(resp.Body)
		return errors.CombineErrors(errors.Newf("%s %s: %s: %s", method, path, resp.Status, text), err)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// stream asks a question and checks that the streamed answer is whole.
func (t *tour) stream(ctx context.Context, tenant, prompt string, tokens int) (first, took time.Duration, err error) {
	in, err := json.Marshal(map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": tokens})
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+"/v1/ask", bytes.NewReader(in))
	if err != nil {
		return 0, 0, err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, errors.Newf("ask: %s", resp.Status)
	}
	a, err := standin.ReadAnswer(resp.Body)
	switch want := standin.ExpectedText(model, "", version, prompt, tokens); {
	case err != nil:
		return 0, 0, errors.Wrap(err, "ask")
	case a.Failure != nil:
		return 0, 0, errors.Newf("ask: %s", a.Failure)
	case a.Text != want:
		return 0, 0, errors.Newf("ask: got %q, want %q", a.Text, want)
	}
	return a.First.Sub(began).Round(time.Millisecond), time.Since(began).Round(time.Millisecond), nil
}
