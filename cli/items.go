package cli

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"

	"github.com/crocusstile/crocusstile/gen/jobs"
)

// maxLineBytes limits one line of the input of a job.
const maxLineBytes = 16 << 20

// inputItem is one line of the input of a job: a prompt for a model or a call of a plain service.
type inputItem struct {
	Model         string `json:"model"`
	Adapter       string `json:"adapter"`
	Version       string `json:"version"`
	Prompt        string `json:"prompt"`
	MaxTokens     int32  `json:"maxTokens"`
	Service       string `json:"service"`
	Method        string `json:"method"`
	Body          any    `json:"body"`
	NonIdempotent bool   `json:"nonIdempotent"`
}

// itemDefaults holds the values for fields that an item does not set.
type itemDefaults struct {
	model     string
	maxTokens int
}

// readItems reads the items of a job from a file of JSON lines; "-" stands for standard input.
func (s *session) readItems(file string, d itemDefaults) ([]*jobs.Item, error) {
	if file == "-" {
		return decodeItems(s.In, d)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, usageErrorf("", "%v", err)
	}
	defer func() { _ = f.Close() }()
	return decodeItems(f, d)
}

// decodeItems decodes one item per line and skips blank lines.
func decodeItems(r io.Reader, d itemDefaults) ([]*jobs.Item, error) {
	var items []*jobs.Item
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		it, err := decodeItem(lines.Bytes(), d)
		if err != nil {
			return nil, usageErrorf("", "line %d of the input: %v", n, err)
		}
		items = append(items, it)
	}
	if err := lines.Err(); err != nil {
		return nil, usageErrorf("", "cannot read the input: %v", err)
	}
	if len(items) == 0 {
		return nil, usageErrorf("", `the input is empty; should have one item per line, such as {"prompt":"..."}`)
	}
	return items, nil
}

// decodeItem decodes and checks one item, with defaults for the fields that it does not set.
func decodeItem(line []byte, d itemDefaults) (*jobs.Item, error) {
	var it inputItem
	if err := decodeStrict(line, &it); err != nil {
		return nil, err
	}
	if it.MaxTokens == 0 {
		it.MaxTokens = int32(d.maxTokens)
	}
	if it.Model == "" && it.Service == "" {
		it.Model = d.model
	}
	switch {
	case (it.Prompt == "") == (it.Service == ""):
		return nil, usageErrorf("", `should have either "prompt" or "service" and "method"`)
	case it.Prompt != "" && it.Model == "":
		return nil, usageErrorf("model", "is missing; should name the model, in the item or with -model")
	case it.Service != "" && it.Method == "":
		return nil, usageErrorf("method", "is missing; should name the method of the service")
	}
	return &jobs.Item{
		Model: optional(it.Model), Adapter: optional(it.Adapter), Version: optional(it.Version),
		Prompt: optional(it.Prompt), MaxTokens: it.MaxTokens,
		Service: optional(it.Service), Method: optional(it.Method), Body: it.Body,
		NonIdempotent: it.NonIdempotent,
	}, nil
}

// decodeStrict decodes JSON and rejects unknown fields, so that a misspelled name is reported.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// deriveJobKey returns an idempotency key that is a hash of the tenant and the items, so that
// submitting the same items again joins the first job.
func deriveJobKey(tenant string, items []*jobs.Item) (string, error) {
	hash := sha256.New()
	if err := json.NewEncoder(hash).Encode(struct {
		Tenant string
		Items  []*jobs.Item
	}{tenant, items}); err != nil {
		return "", usageErrorf("", "the items are not JSON: %v", err)
	}
	return "items-" + hex.EncodeToString(hash.Sum(nil)[:16]), nil
}
