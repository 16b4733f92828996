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
		item, err := decodeItem(lines.Bytes(), d)
		if err != nil {
			return nil, usageErrorf("", "line %d of the input: %v", n, err)
		}
		items = append(items, item)
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
	var item inputItem
	if err := decodeStrict(line, &item); err != nil {
		return nil, err
	}
	if item.MaxTokens == 0 {
		item.MaxTokens = int32(d.maxTokens)
	}
	if item.Model == "" && item.Service == "" {
		item.Model = d.model
	}
	switch {
	case (item.Prompt == "") == (item.Service == ""):
		return nil, usageErrorf("", `should have either "prompt" or "service" and "method"`)
	case item.Prompt != "" && item.Model == "":
		return nil, usageErrorf("model", "is missing; should name the model, in the item or with -model")
	case item.Service != "" && item.Method == "":
		return nil, usageErrorf("method", "is missing; should name the method of the service")
	}
	return &jobs.Item{
		Model: optional(item.Model), Adapter: optional(item.Adapter), Version: optional(item.Version),
		Prompt: optional(item.Prompt), MaxTokens: item.MaxTokens,
		Service: optional(item.Service), Method: optional(item.Method), Body: item.Body,
		NonIdempotent: item.NonIdempotent,
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
