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

// lineBytes bounds one line of a job's input.
const lineBytes = 16 << 20

// item is one line of a job's input: a prompt for a model or a call of a plain service.
type item struct {
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

// itemDefaults fills in what items leave out.
type itemDefaults struct {
	model     string
	maxTokens int
}

// readItems reads the items of a job from JSON lines; "-" stands for standard input.
func (s *session) readItems(file string, d itemDefaults) ([]*jobs.Item, error) {
	if file == "-" {
		return decodeItems(s.In, d)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, misuse("", "%v", err)
	}
	defer func() { _ = f.Close() }()
	return decodeItems(f, d)
}

func decodeItems(r io.Reader, d itemDefaults) ([]*jobs.Item, error) {
	var items []*jobs.Item
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		it, err := decodeItem(lines.Bytes(), d)
		if err != nil {
			return nil, misuse("", "line %d of the input: %v", n, err)
		}
		items = append(items, it)
	}
	if err := lines.Err(); err != nil {
		return nil, misuse("", "cannot read the input: %v", err)
	}
	if len(items) == 0 {
		return nil, misuse("", `the input is empty; should have one item a line, such as {"prompt":"..."}`)
	}
	return items, nil
}

func decodeItem(line []byte, d itemDefaults) (*jobs.Item, error) {
	var it item
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
		return nil, misuse("", `should have either "prompt" or "service" and "method"`)
	case it.Prompt != "" && it.Model == "":
		return nil, misuse("model", "is missing; should name the model, here or with -model")
	case it.Service != "" && it.Method == "":
		return nil, misuse("method", "is missing; should name the method of the service")
	}
	return &jobs.Item{
		Model: optional(it.Model), Adapter: optional(it.Adapter), Version: optional(it.Version),
		Prompt: optional(it.Prompt), MaxTokens: it.MaxTokens,
		Service: optional(it.Service), Method: optional(it.Method), Body: it.Body,
		NonIdempotent: it.NonIdempotent,
	}, nil
}

// decodeStrict decodes JSON and refuses unknown fields.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// keyOf derives a job's key from its tenant and items.
func keyOf(tenant string, items []*jobs.Item) (string, error) {
	h := sha256.New()
	if err := json.NewEncoder(h).Encode(struct {
		Tenant string
		Items  []*jobs.Item
	}{tenant, items}); err != nil {
		return "", misuse("", "the items are not JSON: %v", err)
	}
	return "items-" + hex.EncodeToString(h.Sum(nil)[:16]), nil
}
