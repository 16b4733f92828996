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

// batchItemCount is the number of items of the batch job; each summarises one log note.
const batchItemCount = 120

// jobTimeout limits the duration of the batch job; the job is due at its end.
const jobTimeout = 2 * cs.Minute

// demonstration runs the steps of the demonstration against the daemon and checks each result.
type demonstration struct {
	out     io.Writer
	site    *site
	client  *http.Client
	baseURL string
}

func newDemonstration(out io.Writer, s *site) *demonstration {
	return &demonstration{out: out, site: s, client: &http.Client{}, baseURL: "http://" + s.apiListener.Addr().String()}
}

// run executes all steps in order and stops at the first that fails.
func (d *demonstration) run(ctx context.Context) error {
	defer d.client.CloseIdleConnections()
	for _, step := range []func(context.Context) error{
		d.waitReady, d.fileTickets, d.askLessonQuestion, d.askShiftQuery, d.registerMark, d.runBatchJob,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printf prints a line. It ignores errors, because the demonstration goes on without a reader.
func (d *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// waitReady waits until the daemon has read the platform's list.
func (d *demonstration) waitReady(ctx context.Context) error {
	for range 100 {
		if d.do(ctx, http.MethodGet, "/readyz", nil, nil) == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the daemon was not ready after 5 s")
}

// fileTickets files the tickets of a deployment and a service.
func (d *demonstration) fileTickets(ctx context.Context) error {
	tickets := []any{
		map[string]any{"number": 1, "operator": "demo", "deployment": map[string]any{
			"name": "tutor", "service": "tutor-models", "model": model, "version": version, "minRunners": runnerCount,
		}},
		map[string]any{"number": 2, "operator": "demo", "service": map[string]any{
			"name": "records-app", "nonIdempotent": []string{"registerMark"}, "timeoutMs": 5000,
		}},
	}
	for _, ticket := range tickets {
		start := time.Now()
		var got struct {
			Scope string `json:"scope"`
		}
		if err := d.do(ctx, http.MethodPost, "/v1/tickets", ticket, &got); err != nil {
			return err
		}
		d.printf("ticket in force: %s after %v", got.Scope, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

// askLessonQuestion sends an online request and reads the response as a stream.
func (d *demonstration) askLessonQuestion(ctx context.Context) error {
	firstToken, total, err := d.askStreaming(ctx, "hebewerk", "How do I lift a crate of beer without hurting my back?", 40)
	if err != nil {
		return err
	}
	d.printf("lesson question: complete response of 40 tokens, first token after %v, last after %v", firstToken, total)
	return nil
}

// askShiftQuery sends an online request and reads the response as a single JSON object.
func (d *demonstration) askShiftQuery(ctx context.Context) error {
	const prompt = "Which boiler had smelt bed trouble in the last shift?"
	var got struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
		TookMs int    `json:"tookMs"`
	}
	ask := map[string]any{"tenant": "verein", "model": model, "prompt": prompt, "maxTokens": 24}
	if err := d.do(ctx, http.MethodPost, "/v1/answer", ask, &got); err != nil {
		return err
	}
	if want := standin.ExpectedText(model, "", version, prompt, 24); got.Text != want {
		return errors.Newf("shift query: got %q, want %q", got.Text, want)
	}
	d.printf("shift query: complete response of %d tokens after %d ms", got.Tokens, got.TookMs)
	return nil
}

// registerMark calls a non-idempotent method twice with the same key; the service must run it once.
func (d *demonstration) registerMark(ctx context.Context) error {
	call := map[string]any{
		"tenant": "hebewerk", "idempotencyKey": "mark-4711",
		"body": map[string]any{"trainee": 4711, "module": "lifting", "mark": 2},
	}
	for i := range 2 {
		var got struct {
			Joined bool `json:"joined"`
		}
		if err := d.do(ctx, http.MethodPost, "/v1/services/records-app/registerMark", call, &got); err != nil {
			return err
		}
		if got.Joined != (i == 1) {
			return errors.Newf("mark: call %d: unexpected value of joined: %t", i+1, got.Joined)
		}
	}
	starts := 0
	for _, e := range d.site.records.Journal() {
		if e.Event == standin.JournalStart {
			starts++
		}
	}
	if starts != 1 {
		return errors.Newf("mark: registered %d times, want 1", starts)
	}
	d.printf("mark: sent twice with the same key, registered once")
	return nil
}

// runBatchJob runs a batch job while online requests are sent, and checks the results of both.
func (d *demonstration) runBatchJob(ctx context.Context) error {
	items, want := make([]any, batchItemCount), make([]string, batchItemCount)
	for i := range batchItemCount {
		prompt := fmt.Sprintf("Summarise log note %d: smelt bed even, green liquor 1.%02d.", i, i)
		items[i] = map[string]any{"model": model, "prompt": prompt, "maxTokens": 20}
		want[i] = standin.ExpectedText(model, "", version, prompt, 20)
	}
	start := time.Now()
	var job struct {
		ID string `json:"id"`
	}
	submit := map[string]any{"tenant": "verein", "key": "night-summary", "dueMs": int64(jobTimeout), "items": items}
	if err := d.do(ctx, http.MethodPost, "/v1/jobs", submit, &job); err != nil {
		return err
	}
	d.printf("batch job: %d log notes accepted after %v", batchItemCount, time.Since(start).Round(time.Millisecond))
	stopAsking := d.askConcurrently(ctx)
	if err := d.waitJob(ctx, job.ID); err != nil {
		return err
	}
	firstTokenTimes, err := stopAsking()
	if err != nil {
		return err
	}
	slices.Sort(firstTokenTimes)
	d.printf("online requests during the job: %d complete responses, first token after %v (median), %v (maximum)",
		len(firstTokenTimes), firstTokenTimes[len(firstTokenTimes)/2], firstTokenTimes[len(firstTokenTimes)-1])
	if err := d.checkResults(ctx, job.ID, want); err != nil {
		return err
	}
	d.printf("batch job: %d items, each finished exactly once with the complete response, after %v", batchItemCount, time.Since(start).Round(time.Millisecond))
	return nil
}

// askConcurrently sends online requests one after the other until the returned function is called,
// but at least one. That function returns the times to the first token.
func (d *demonstration) askConcurrently(ctx context.Context) func() ([]time.Duration, error) {
	stop := make(chan struct{})
	var (
		wg              sync.WaitGroup
		firstTokenTimes []time.Duration
		firstErr        error
	)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; firstErr == nil; i++ {
			select {
			case <-stop:
				if len(firstTokenTimes) > 0 {
					return
				}
			default:
			}
			var first time.Duration
			if first, _, firstErr = d.askStreaming(ctx, "hebewerk", fmt.Sprintf("Question %d about posture", i), 10); firstErr == nil {
				firstTokenTimes = append(firstTokenTimes, first)
			}
		}
	}()
	return func() ([]time.Duration, error) {
		close(stop)
		wg.Wait()
		return firstTokenTimes, firstErr
	}
}

// waitJob polls the state of a job until it is finished.
func (d *demonstration) waitJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout.Std())
	defer cancel()
	for {
		var got struct {
			State string `json:"state"`
		}
		if err := d.do(ctx, http.MethodGet, "/v1/jobs/"+id+"?tenant=verein", nil, &got); err != nil {
			return err
		}
		if got.State == cs.JobFinished.String() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkResults compares the output of each item with the text that the stand-in generates for its
// prompt.
func (d *demonstration) checkResults(ctx context.Context, id string, want []string) error {
	var response struct {
		Results []struct {
			Index  int    `json:"index"`
			State  string `json:"state"`
			Output string `json:"output"`
		} `json:"results"`
	}
	if err := d.do(ctx, http.MethodGet, "/v1/jobs/"+id+"/results?tenant=verein&limit=5000", nil, &response); err != nil {
		return err
	}
	if len(response.Results) != len(want) {
		return errors.Newf("batch job: got %d results, want %d", len(response.Results), len(want))
	}
	for i, r := range response.Results {
		if r.Index != i || r.State != cs.ItemDone.String() || r.Output != want[i] {
			return errors.Newf("batch job: item %d: got index %d, state %s, output %q", i, r.Index, r.State, r.Output)
		}
	}
	return nil
}

// do sends a request and decodes the response, both in JSON.
func (d *demonstration) do(ctx context.Context, method, path string, request, response any) error {
	var body bytes.Buffer
	if request != nil {
		if err := json.NewEncoder(&body).Encode(request); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, d.baseURL+path, &body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, err := io.ReadAll(resp.Body)
		return errors.CombineErrors(errors.Newf("%s %s: %s: %s", method, path, resp.Status, text), err)
	}
	if response == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(response)
}

// askStreaming sends a prompt, checks that the streamed response is complete and returns the times
// to its first token and to its end.
func (d *demonstration) askStreaming(ctx context.Context, tenant, prompt string, tokens int) (firstToken, total time.Duration, err error) {
	body, err := json.Marshal(map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": tokens})
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.baseURL+"/v1/ask", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, errors.Newf("ask: %s", resp.Status)
	}
	response, err := standin.ReadStream(resp.Body)
	switch want := standin.ExpectedText(model, "", version, prompt, tokens); {
	case err != nil:
		return 0, 0, errors.Wrap(err, "ask")
	case response.Failure != nil:
		return 0, 0, errors.Newf("ask: %s", response.Failure)
	case response.Text != want:
		return 0, 0, errors.Newf("ask: got %q, want %q", response.Text, want)
	}
	return response.FirstEventAt.Sub(start).Round(time.Millisecond), time.Since(start).Round(time.Millisecond), nil
}
