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

// client opens a connection for each request, as many callers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func now() cs.Instant { return cs.Instant(time.Now().UnixMilli()) }

// refusalBody is the error of the system's interface.
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

// sendJSON sends a JSON request; out may be nil. A refusal comes back as *refusalBody.
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

// caller talks to VMs and notes what it sees.
type caller struct {
	t    *testing.T
	site *site
	mu   sync.Mutex
	seen []audit.Observation
	// once holds the contents that must not run twice.
	once map[cs.ContentHash]bool
}

func newCaller(t *testing.T, s *site) *caller {
	return &caller{t: t, site: s, once: map[cs.ContentHash]bool{}}
}

func (c *caller) note(o audit.Observation) {
	c.mu.Lock()
	c.seen = append(c.seen, o)
	c.mu.Unlock()
}

// noteError notes a refusal, or a request that got neither answer nor refusal.
func (c *caller) noteError(h cs.ContentHash, v *vm, sent cs.Instant, err error) {
	if e, ok := err.(*refusalBody); ok { //nolint:errorlint // sendJSON returns it unwrapped
		c.note(audit.Refused{Sent: sent, At: now(), Hash: h, Ran: e.Ran, Text: e.Error()})
		return
	}
	c.note(audit.NoResponse{Sent: sent, At: now(), Hash: h, VMUnavailable: v.starts > 1 || !v.running(), Text: err.Error()})
}

func hashPrompt(prompt string) cs.ContentHash {
	return cs.HashTarget(cs.Generation{Model: model, Version: version, Prompt: prompt})
}

// answer asks for a whole answer.
func (c *caller) answer(v *vm, tenant, prompt string, tokens int) error {
	sent := now()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var got struct {
		Text string `json:"text"`
	}
	in := map[string]any{"tenant": tenant, "model": model, "prompt": prompt, "maxTokens": tokens}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/answer", in, &got); err != nil {
		c.noteError(hashPrompt(prompt), v, sent, err)
		return err
	}
	c.note(audit.Responded{Sent: sent, At: now(), Hash: hashPrompt(prompt), Got: got.Text, Want: standin.ExpectedText(model, "", version, prompt, tokens)})
	return nil
}

// stream asks for a streamed answer and returns the time to its first token.
func (c *caller) stream(v *vm, tenant, prompt string, tokens int) (time.Duration, error) {
	sent := now()
	first, text, err := readStream(v.address, tenant, prompt, tokens)
	if err != nil {
		c.noteError(hashPrompt(prompt), v, sent, err)
		return first, err
	}
	c.note(audit.Responded{Sent: sent, At: now(), Hash: hashPrompt(prompt), Got: text, Want: standin.ExpectedText(model, "", version, prompt, tokens)})
	return first, nil
}

// readStream reads a streamed answer to its end marker.
func readStream(from cs.Address, tenant, prompt string, tokens int) (first time.Duration, text string, err error) {
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

// mark registers a mark by a call that must not be repeated; key may be empty.
func (c *caller) mark(v *vm, key string, mark any) (joined bool, err error) {
	body, err := json.Marshal(mark)
	if err != nil {
		return false, err
	}
	hash := cs.HashTarget(cs.ServiceCall{Service: recordsS, Method: markCall, Body: body})
	c.mu.Lock()
	c.once[hash] = true
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
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/services/"+recordsS+"/"+markCall, in, &got); err != nil {
		c.noteError(hash, v, sent, err)
		return false, err
	}
	c.note(audit.Responded{Sent: sent, At: now(), Hash: hash})
	return got.Joined, nil
}

// batchJob is a job that a caller submits.
type batchJob struct {
	id    cs.JobID
	key   string
	items []map[string]any
	want  []string
	hash  []cs.ContentHash
}

// newJob returns a job of n prompts.
func newJob(key string, n, tokens int) *batchJob {
	j := &batchJob{key: key, id: cs.NewJobID("verein", cs.IdempotencyKey(key))}
	for i := range n {
		prompt := fmt.Sprintf("%s: summarise log note %d", key, i)
		j.items = append(j.items, map[string]any{"model": model, "version": version, "prompt": prompt, "maxTokens": tokens})
		j.want = append(j.want, standin.ExpectedText(model, "", version, prompt, tokens))
		j.hash = append(j.hash, hashPrompt(prompt))
	}
	return j
}

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

// submit submits a job.
func (c *caller) submit(v *vm, j *batchJob) (jobBody, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var got jobBody
	in := map[string]any{"tenant": "verein", "key": j.key, "items": j.items}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/jobs", in, &got); err != nil {
		c.noteError(0, v, now(), err)
		return got, err
	}
	c.note(audit.Accepted{At: now(), Job: j.id, Hashes: j.hash, Want: j.want})
	return got, nil
}

// status reads a job's state from any of the VMs that answer.
func (c *caller) status(v *vm, j *batchJob) (jobBody, error) {
	var got jobBody
	err := getJSON(v.address, "/v1/jobs/"+string(j.id)+"?tenant=verein", &got)
	return got, err
}

// waitFinished waits until a job is finished and reads all its results.
func (c *caller) waitFinished(v *vm, j *batchJob, limit time.Duration) []cs.ItemResult {
	c.t.Helper()
	last := "no answer"
	defer func() {
		if c.t.Failed() {
			c.site.dump()
		}
	}()
	c.site.eventually(limit, "job "+j.key+" finished", func() bool {
		s, err := c.status(v, j)
		if text := fmt.Sprintf("%+v %v", s, err); text != last {
			last = text
			c.t.Logf("job %s: %s", j.key, last)
		}
		return err == nil && s.State != cs.JobOpen && s.State != cs.JobOpening && s.Undurable == 0
	})
	return c.results(v, j)
}

// results reads all results of a job.
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
			c.t.Fatalf("results: %v", err)
		}
		all = append(all, got.Results...)
		if len(got.Results) == 0 || got.Next <= next || got.Next >= len(j.items) {
			c.note(audit.ResultsRead{At: now(), Job: j.id, State: got.State, Results: all})
			return all
		}
		next = got.Next
	}
}

// cancel stops a job.
func (c *caller) cancel(v *vm, j *batchJob) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := sendJSON(ctx, http.MethodDelete, v.address, "/v1/jobs/"+string(j.id)+"?tenant=verein", nil, nil); err != nil {
		return err
	}
	c.note(audit.Cancelled{At: now(), Job: j.id})
	return nil
}

// fileDeployment files a ticket for a deployment.
func (c *caller) fileDeployment(v *vm, number int, name string, minRunners int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in := map[string]any{"number": number, "operator": "op-" + v.id, "deployment": map[string]any{
		"name": name, "service": engines, "model": model, "version": version, "minRunners": minRunners,
	}}
	if err := sendJSON(ctx, http.MethodPost, v.address, "/v1/tickets", in, nil); err != nil {
		return err
	}
	c.note(audit.TicketAccepted{At: now(), Scope: cs.Scope("deployment/" + name), Number: cs.TicketNumber(number)})
	return nil
}

// fileRecords files the ticket that makes registering a mark non-idempotent.
func (c *caller) fileRecords(v *vm, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	in := map[string]any{"number": number, "operator": "op-" + v.id, "service": map[string]any{
		"name": recordsS, "nonIdempotent": []string{markCall}, "timeoutMs": 5000,
	}}
	return sendJSON(ctx, http.MethodPost, v.address, "/v1/tickets", in, nil)
}

// inForce reads the number in force for a scope on a VM; 0 if there is none or no answer.
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
	c.note(audit.InForce{At: now(), VM: fmt.Sprintf("%s/%d", v.id, v.starts), Scope: cs.Scope(scope), Number: cs.TicketNumber(n), Reachable: reachable})
	return n
}

// setUp files the tickets that every test needs and waits until they are in force everywhere.
func (c *caller) setUp() {
	c.t.Helper()
	v := c.site.vms()[0]
	if err := c.fileDeployment(v, 1, "tutor", 0); err != nil {
		c.t.Fatal(err)
	}
	if err := c.fileRecords(v, 2); err != nil {
		c.t.Fatal(err)
	}
	c.site.eventually(5*time.Second, "tickets in force everywhere", func() bool {
		for _, x := range c.site.vms() {
			if c.inForce(x, "deployment/tutor", false) != 1 || c.inForce(x, "service/"+recordsS, false) != 2 {
				return false
			}
		}
		return true
	})
}

// check gathers what runners ran and what the log holds and runs the checker.
func (c *caller) check(unfinished bool) {
	c.t.Helper()
	e := audit.Evidence{Observations: c.seen, Unfinished: unfinished, Streams: map[cs.StreamID][]cs.LoggedBatch{}}
	for _, b := range c.site.backends() {
		for _, x := range readJournal(c.t, b.journal) {
			if x.Event == standin.JournalStart {
				e.RunStarts = append(e.RunStarts, audit.RunStart{
					At: x.At, Runner: cs.RunnerID(b.id), ID: x.ID, Hash: x.Hash, NonIdempotent: c.once[x.Hash],
				})
			}
		}
	}
	streams := []cs.StreamID{cs.TicketStream}
	for i := range 8 {
		streams = append(streams, cs.WorkStream(cs.ShardID(i)))
	}
	for _, name := range streams {
		e.Streams[name] = c.readStream(name)
	}
	c.logCounts(e)
	for _, v := range audit.Check(e) {
		c.t.Error(v)
	}
}

// logCounts logs what callers got and how many appends the work took.
func (c *caller) logCounts(e audit.Evidence) {
	c.t.Helper()
	var answered, cutOff, items int
	refused := map[cs.Ran]int{}
	for _, o := range e.Observations {
		switch o := o.(type) {
		case audit.Responded:
			answered++
		case audit.Refused:
			refused[o.Ran]++
		case audit.NoResponse:
			cutOff++
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
	c.t.Logf("answered %d, not run %d, failed %d, unknown %d, cut off %d; %d items, %d appends with records",
		answered, refused[cs.RanNotRun], refused[cs.RanFailed], refused[cs.RanUnknown], cutOff, items, appends)
}

func readJournal(t *testing.T, path string) []standin.JournalEntry {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var list []standin.JournalEntry
	for line := range bytes.Lines(text) {
		var x standin.JournalEntry
		if json.Unmarshal(line, &x) == nil { // a killed process may leave a part of a line
			list = append(list, x)
		}
	}
	return list
}

// readStream reads all batches that were ever appended to a stream.
func (c *caller) readStream(name cs.StreamID) []cs.LoggedBatch {
	c.t.Helper()
	resp, err := client.Get("http://" + string(c.site.log.address) + "/standin/journal/" + string(name))
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

// faults changes the settings of a stand-in.
func faults(t *testing.T, at cs.Address, settings map[string]any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := sendJSON(ctx, http.MethodPost, at, "/standin/faults", settings, nil); err != nil {
		t.Fatal(err)
	}
}

// excuseKilled excuses requests that were cut off, if VMs were killed or frozen in the run: nobody
// can answer for a VM that is gone.
func (c *caller) excuseKilled(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.seen {
		if x, ok := o.(audit.NoResponse); ok && killed {
			x.VMUnavailable = true
			c.seen[i] = x
		}
	}
}
