package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/audit"
	"github.com/crocusstile/crocusstile/standin"
	"github.com/crocusstile/crocusstile/wire"
)

// client opens a new connection for each request, as many callers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func now() cs.Instant { return cs.Instant(time.Now().UnixMilli()) }

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Field   string `json:"field"`
	Ran     cs.Ran `json:"ran"`
	status  int
}

func (e *refusalBody) Error() string {
	return fmt.Sprintf("%d %s: %s: %s (%s)", e.status, e.Name, e.Field, e.Message, e.Ran)
}

// sendJSON sends a JSON request and decodes the response into out, which may be nil. The error of a
// refusal is a *refusalBody.
func sendJSON(ctx context.Context, method string, to cs.Address, path string, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(to)+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		e := &refusalBody{status: resp.StatusCode}
		if err := json.Unmarshal(text, e); err != nil || e.Name == "" {
			return fmt.Errorf("%s: %s", resp.Status, text)
		}
		return e
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

func getJSON(from cs.Address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return sendJSON(ctx, http.MethodGet, from, path, nil, out)
}

// caller sends requests to VMs and records the outcomes for the invariant checker.
type caller struct {
	t            *testing.T
	cluster      *cluster
	mu           sync.Mutex
	observations []audit.Observation
	// nonIdempotent holds the contents that must not run more than once.
	nonIdempotent map[cs.ContentHash]bool
}

func newCaller(t *testing.T, cl *cluster) *caller {
	return &caller{t: t, cluster: cl, nonIdempotent: map[cs.ContentHash]bool{}}
}

func (c *caller) record(o audit.Observation) {
	c.mu.Lock()
	c.observations = append(c.observations, o)
	c.mu.Unlock()
}

// recordError records a refusal, or a request that ended without any response. The checker accepts the
// latter only if the VM's process was replaced or has exited.
func (c *caller) recordError(h cs.ContentHash, v *vm, sent cs.Instant, err error) {
	if e, ok := err.(*refusalBody); ok { //nolint:errorlint // sendJSON returns it unwrapped
		c.record(audit.Refused{Sent: sent, At: now(), Hash: h, Ran: e.Ran, Text: e.Error()})
		return
	}
	c.record(audit.NoResponse{Sent: sent, At: now(), Hash: h, VMUnavailable: v.startCount > 1 || !v.running(), Text: err.Error()})
}

func hashPrompt(prompt string) cs.ContentHash {
	return cs.HashTarget(cs.Generation{Model: model, Version: version, Prompt: prompt})
}

// answer requests an answer that comes in one piece.
func (c *caller) answer(v *vm, tenant, prompt string, tokens int) error {
	sent := now()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var got struct {
		Text string `json:"text"`
	}
	in := map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": tokens}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/answer", in, &got); err != nil {
		c.recordError(hashPrompt(prompt), v, sent, err)
		return err
	}
	c.record(audit.Responded{Sent: sent, At: now(), Hash: hashPrompt(prompt), Got: got.Text, Want: standin.ExpectedText(model, "", version, prompt, tokens)})
	return nil
}

// stream requests a streamed answer and returns the time to its first token.
func (c *caller) stream(v *vm, tenant, prompt string, tokens int) (time.Duration, error) {
	sent := now()
	first, text, err := readAnswerStream(v.address, tenant, prompt, tokens)
	if err != nil {
		c.recordError(hashPrompt(prompt), v, sent, err)
		return first, err
	}
	c.record(audit.Responded{Sent: sent, At: now(), Hash: hashPrompt(prompt), Got: text, Want: standin.ExpectedText(model, "", version, prompt, tokens)})
	return first, nil
}

// readAnswerStream requests a streamed answer and reads it up to its end marker.
func readAnswerStream(from cs.Address, tenant, prompt string, tokens int) (first time.Duration, text string, err error) {
	in, err := json.Marshal(map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": tokens})
	if err != nil {
		return 0, "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(from)+"/v1/ask", bytes.NewReader(in))
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		e := &refusalBody{status: resp.StatusCode}
		if err := json.NewDecoder(resp.Body).Decode(e); err != nil {
			return 0, "", err
		}
		return 0, "", e
	}
	a, err := standin.ReadStream(resp.Body)
	if !a.FirstEventAt.IsZero() {
		first = a.FirstEventAt.Sub(began)
	}
	if err != nil {
		return first, "", err
	}
	if a.Failure != nil {
		e := &refusalBody{}
		if err := json.Unmarshal(a.Failure, e); err != nil {
			return first, "", err
		}
		return first, "", e
	}
	return first, a.Text, nil
}

// mark registers a trainee's mark by a non-idempotent service call. The key, which may be empty, is
// its idempotency key; joined tells whether the call got the outcome of an earlier one with that key.
func (c *caller) mark(v *vm, key string, mark any) (joined bool, err error) {
	body, err := json.Marshal(mark)
	if err != nil {
		return false, err
	}
	hash := cs.HashTarget(cs.ServiceCall{Service: recordsService, Method: markMethod, Body: body})
	c.mu.Lock()
	c.nonIdempotent[hash] = true
	c.mu.Unlock()
	sent := now()
	in := map[string]any{"tenant": "hebewerk", "body": mark}
	if key != "" {
		in["idempotencyKey"] = key
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var got struct {
		Joined bool `json:"joined"`
	}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/services/"+recordsService+"/"+markMethod, in, &got); err != nil {
		c.recordError(hash, v, sent, err)
		return false, err
	}
	c.record(audit.Responded{Sent: sent, At: now(), Hash: hash})
	return got.Joined, nil
}

// batchJob is a job that a caller submits.
type batchJob struct {
	id     cs.JobID
	key    string // the idempotency key
	items  []map[string]any
	want   []string         // the outputs of the items; empty ones are not compared
	hashes []cs.ContentHash // the content hashes of the items
}

// newJob returns a job of n items with different prompts, each limited to the given number of tokens.
func newJob(key string, n, tokens int) *batchJob {
	j := &batchJob{key: key, id: cs.NewJobID("verein", cs.IdempotencyKey(key))}
	for i := range n {
		prompt := fmt.Sprintf("%s: summarise log note %d", key, i)
		j.items = append(j.items, map[string]any{"model": model, "version": version, "prompt": prompt, "maxTokens": tokens})
		j.want = append(j.want, standin.ExpectedText(model, "", version, prompt, tokens))
		j.hashes = append(j.hashes, hashPrompt(prompt))
	}
	return j
}

// jobBody is the JSON body of a job's state, with the number of its items, in total and by state.
// Undurable counts those whose outcome is not durable yet.
type jobBody struct {
	ID        string      `json:"id"`
	State     cs.JobState `json:"state"`
	Count     int         `json:"count"`
	Waiting   int         `json:"waiting"`
	Running   int         `json:"running"`
	Done      int         `json:"done"`
	Failed    int         `json:"failed"`
	Unknown   int         `json:"unknown"`
	Cancelled int         `json:"cancelled"`
	Undurable int         `json:"undurable"`
	Joined    bool        `json:"joined"`
}

// submit submits a job for the tenant verein.
func (c *caller) submit(v *vm, j *batchJob) (jobBody, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var got jobBody
	in := map[string]any{"tenant": "verein", "key": j.key, "items": j.items}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/jobs", in, &got); err != nil {
		c.recordError(0, v, now(), err)
		return got, err
	}
	c.record(audit.Accepted{At: now(), Job: j.id, Hashes: j.hashes, Want: j.want})
	return got, nil
}

// status reads a job's state through a VM, which need not own the job's shard.
func (c *caller) status(v *vm, j *batchJob) (jobBody, error) {
	var got jobBody
	err := getJSON(v.address, "/v1/jobs/"+string(j.id)+"?tenant=verein", &got)
	return got, err
}

// waitFinished waits until a job has ended with durable outcomes for all items and reads its results.
func (c *caller) waitFinished(v *vm, j *batchJob, timeout time.Duration) []cs.ItemResult {
	c.t.Helper()
	last := "no answer"
	defer func() {
		if c.t.Failed() {
			c.cluster.logState()
		}
	}()
	c.cluster.eventually(timeout, "job "+j.key+" finished", func() bool {
		s, err := c.status(v, j)
		if text := fmt.Sprintf("%+v %v", s, err); text != last {
			last = text
			c.t.Logf("job %s: %s", j.key, last)
		}
		return err == nil && s.State != cs.JobOpen && s.State != cs.JobOpening && s.Undurable == 0
	})
	return c.results(v, j)
}

// results reads all results of a job, page by page.
func (c *caller) results(v *vm, j *batchJob) []cs.ItemResult {
	c.t.Helper()
	var all []cs.ItemResult
	for next := 0; ; {
		var got struct {
			Results []cs.ItemResult `json:"results"`
			Next    int             `json:"next"`
			State   cs.JobState     `json:"state"`
		}
		path := fmt.Sprintf("/v1/jobs/%s/results?tenant=verein&limit=500&after=%d", j.id, next)
		if err := getJSON(v.address, path, &got); err != nil {
			c.t.Fatalf("reading the results of a job: %v", err)
		}
		all = append(all, got.Results...)
		if len(got.Results) == 0 || got.Next <= next || got.Next >= len(j.items) {
			c.record(audit.ResultsRead{At: now(), Job: j.id, State: got.State, Results: all})
			return all
		}
		next = got.Next
	}
}

// cancel requests the cancellation of a job and records it once acknowledged.
func (c *caller) cancel(v *vm, j *batchJob) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := sendJSON(ctx, http.MethodDelete, v.address, "/v1/jobs/"+string(j.id)+"?tenant=verein", nil, nil); err != nil {
		return err
	}
	c.record(audit.Cancelled{At: now(), Job: j.id})
	return nil
}

// submitDeployment submits a ticket for a deployment of the model.
func (c *caller) submitDeployment(v *vm, number int, name string, minRunners int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in := map[string]any{"number": number, "operator": "op-" + v.id, "deployment": map[string]any{
		"name": name, "service": engineService, "model": model, "version": version, "minRunners": minRunners,
	}}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/tickets", in, nil); err != nil {
		return err
	}
	c.record(audit.TicketAccepted{At: now(), Scope: cs.Scope("deployment/" + name), Number: cs.TicketNumber(number)})
	return nil
}

// submitRecordsService submits the ticket that declares the registration of marks non-idempotent.
func (c *caller) submitRecordsService(v *vm, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in := map[string]any{"number": number, "operator": "op-" + v.id, "service": map[string]any{
		"name": recordsService, "nonIdempotent": []string{markMethod}, "timeoutMs": 5000,
	}}
	return sendJSON(ctx, http.MethodPost, v.address, "/v1/tickets", in, nil)
}

// inForce returns the number of the ticket in force for a scope on a VM; 0 if there is none or the
// request failed. The caller sets reachable if the VM could read the log or a peer during the whole
// audit.TicketLimit before.
func (c *caller) inForce(v *vm, scope string, reachable bool) int {
	var got []struct {
		Number int `json:"number"`
	}
	if getJSON(v.address, "/v1/tickets?scope="+scope, &got) != nil {
		return 0
	}
	n := 0
	if len(got) > 0 {
		n = got[0].Number
	}
	c.record(audit.InForce{At: now(), VM: fmt.Sprintf("%s/%d", v.id, v.startCount), Scope: cs.Scope(scope), Number: cs.TicketNumber(n), Reachable: reachable})
	return n
}

// setUp submits the tickets that every test needs and waits until they are in force on all VMs.
func (c *caller) setUp() {
	c.t.Helper()
	v := c.cluster.vms()[0]
	if err := c.submitDeployment(v, 1, "tutor", 0); err != nil {
		c.t.Fatal(err)
	}
	if err := c.submitRecordsService(v, 2); err != nil {
		c.t.Fatal(err)
	}
	c.cluster.eventually(5*time.Second, "tickets of the set-up in force on all VMs", func() bool {
		for _, x := range c.cluster.vms() {
			if c.inForce(x, "deployment/tutor", false) != 1 || c.inForce(x, "service/"+recordsService, false) != 2 {
				return false
			}
		}
		return true
	})
}

// checkInvariants collects the journals of the backends and the streams of the log, and fails the test
// for each invariant that they and the caller's observations violate. allowUnfinished permits accepted
// jobs that have not ended.
func (c *caller) checkInvariants(allowUnfinished bool) {
	c.t.Helper()
	e := audit.Evidence{Observations: c.observations, Unfinished: allowUnfinished, Streams: map[cs.StreamID][]cs.LoggedBatch{}}
	for _, b := range c.cluster.backends() {
		for _, x := range readJournal(c.t, b.journal) {
			if x.Event == standin.JournalStart {
				e.RunStarts = append(e.RunStarts, audit.RunStart{
					At: x.At, Runner: cs.RunnerID(b.id), ID: x.ID, Hash: x.Hash, NonIdempotent: c.nonIdempotent[x.Hash],
				})
			}
		}
	}
	streams := []cs.StreamID{cs.TicketStream}
	for i := range 8 {
		streams = append(streams, cs.WorkStream(cs.ShardID(i)))
	}
	for _, name := range streams {
		e.Streams[name] = c.readLogStream(name)
	}
	c.logCounts(e)
	for _, v := range audit.Check(e) {
		c.t.Error(v)
	}
}

// logCounts logs the number of requests by outcome and of appends to the log.
func (c *caller) logCounts(e audit.Evidence) {
	c.t.Helper()
	var answered, noResponse, items int
	refused := map[cs.Ran]int{}
	for _, o := range e.Observations {
		switch o := o.(type) {
		case audit.Responded:
			answered++
		case audit.Refused:
			refused[o.Ran]++
		case audit.NoResponse:
			noResponse++
		case audit.Accepted:
			items += len(o.Want)
		default:
		}
	}
	appends := 0
	for name, batches := range e.Streams {
		for _, b := range batches {
			if name != cs.TicketStream && len(b.Batch.Records) > 0 {
				appends++
			}
		}
	}
	c.t.Logf("answered %d, not run %d, failed %d, unknown %d, no response %d; %d items, %d appends with records",
		answered, refused[cs.RanNotRun], refused[cs.RanFailed], refused[cs.RanUnknown], noResponse, items, appends)
}

// readJournal reads the journal of a runner or service.
func readJournal(t *testing.T, path string) []standin.JournalEntry {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var list []standin.JournalEntry
	for line := range bytes.Lines(text) {
		var x standin.JournalEntry
		if json.Unmarshal(line, &x) == nil { // a killed process may leave an incomplete last line
			list = append(list, x)
		}
	}
	return list
}

// readLogStream reads all batches ever appended to a stream, including those past their retention.
func (c *caller) readLogStream(name cs.StreamID) []cs.LoggedBatch {
	c.t.Helper()
	resp, err := client.Get("http://" + string(c.cluster.log.address) + "/standin/journal/" + string(name))
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var list []cs.LoggedBatch
	dec := json.NewDecoder(resp.Body)
	for {
		var r standin.LogRecord
		if err := dec.Decode(&r); err != nil {
			return list
		}
		if b, err := wire.DecodeBatch(r.Payload); err == nil {
			list = append(list, cs.LoggedBatch{Offset: r.Offset, At: r.Time, Batch: b})
		}
	}
}

// setFaults changes the fault settings of a stand-in.
func setFaults(t *testing.T, target cs.Address, settings map[string]any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := sendJSON(ctx, http.MethodPost, target, "/standin/faults", settings, nil); err != nil {
		t.Fatal(err)
	}
}

// excuseNoResponse makes the checker accept all requests that ended without any response if a VM was
// killed in the run, since no other VM can respond for it.
func (c *caller) excuseNoResponse(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.observations {
		if x, ok := o.(audit.NoResponse); ok && killed {
			x.VMUnavailable = true
			c.observations[i] = x
		}
	}
}
