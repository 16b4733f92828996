package wire

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// The job log is a keyed topic: the newest record of each key is kept for good. A job has one key for
// each chunk of its specification, one for each result, one for each item that was handed over and one
// for its end:
//
//	j/JOB/CHUNK   the specification, in chunks that fit a record
//	r/JOB/N/W-A   the result of item N as append A of process W listed it
//	p/JOB/ITEM    how far an item has come
//	e/JOB/0       the end of the job
const (
	keyJob    = "j"
	keyResult = "r"
	keyItem   = "p"
	keyEnd    = "e"
)

// recordOverhead bounds the bytes of a record beside its payload: key, append id and counts.
const recordOverhead = 512

// KeyedRecord is a record of a keyed topic; one without a value removes its key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// jobRecord is the value of a record of the job log.
type jobRecord struct {
	Writer cs.Incarnation  `cbor:"w"`
	Number uint64          `cbor:"n"`
	Chunks int             `cbor:"k,omitempty"`
	Chunk  []byte          `cbor:"c,omitempty"`
	Result *gateway.Result `cbor:"r,omitempty"`
	// Item and Progress belong together.
	Item     cs.ItemID         `cbor:"i,omitempty"`
	Progress *gateway.Progress `cbor:"p,omitempty"`
}

// EncodeJobs returns the records of the changes, none of them longer than maxRecord.
func EncodeJobs(m gateway.AppendID, changes []gateway.JobChange, maxRecord int) ([]KeyedRecord, error) {
	var records []KeyedRecord
	for _, c := range changes {
		next, err := encodeChange(m, c, maxRecord-recordOverhead)
		if err != nil {
			return nil, err
		}
		records = append(records, next...)
	}
	return records, nil
}

func encodeChange(m gateway.AppendID, c gateway.JobChange, maxChunk int) ([]KeyedRecord, error) {
	switch c := c.(type) {
	case gateway.JobOpened:
		return encodeSpec(m, c.Spec, maxChunk)
	case gateway.JobResultAppended:
		value, err := encoder.Marshal(jobRecord{Writer: m.Writer, Number: m.Number, Result: &c.Result})
		if err == nil && len(value) > maxChunk {
			return nil, errors.Newf("result of %d bytes does not fit a record", len(value))
		}
		return []KeyedRecord{{Key: resultKey(c.Job, gateway.ResultKey{Index: c.Index, AppendID: c.AppendID}), Value: value}}, err
	case gateway.ProgressSaved:
		r, err := keyed(keyItem, c.Job, c.Index, jobRecord{Writer: m.Writer, Number: m.Number, Item: c.Item, Progress: &c.Progress})
		return []KeyedRecord{r}, err
	case gateway.JobEnded:
		r, err := keyed(keyEnd, c.Job, 0, jobRecord{Writer: m.Writer, Number: m.Number})
		return []KeyedRecord{r}, err
	case gateway.JobRemoved:
		return dropped(c, maxChunk)
	}
	return nil, ErrEmpty
}

// chunksOf cuts the encoding of a specification.
func chunksOf(spec gateway.JobSpec, maxChunk int) ([][]byte, error) {
	data, err := encoder.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var chunks [][]byte
	for len(data) > maxChunk {
		chunks = append(chunks, data[:maxChunk])
		data = data[maxChunk:]
	}
	return append(chunks, data), nil
}

func encodeSpec(m gateway.AppendID, spec gateway.JobSpec, maxChunk int) ([]KeyedRecord, error) {
	chunks, err := chunksOf(spec, maxChunk)
	if err != nil {
		return nil, err
	}
	records := make([]KeyedRecord, len(chunks))
	for i, chunk := range chunks {
		r := jobRecord{Writer: m.Writer, Number: m.Number, Chunks: len(chunks), Chunk: chunk}
		if records[i], err = keyed(keyJob, spec.ID, i, r); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// dropped returns records that remove all keys of a job, those of the specification last, so that a
// reader between two of them still knows what the others belong to.
func dropped(c gateway.JobRemoved, maxChunk int) ([]KeyedRecord, error) {
	chunks, err := chunksOf(c.Spec, maxChunk)
	if err != nil {
		return nil, err
	}
	var records []KeyedRecord
	for _, key := range c.ResultKeys {
		records = append(records, KeyedRecord{Key: resultKey(c.Job, key)})
	}
	for _, i := range c.Progressed {
		records = append(records, KeyedRecord{Key: jobKey(keyItem, c.Job, i)})
	}
	records = append(records, KeyedRecord{Key: jobKey(keyEnd, c.Job, 0)})
	for i := range chunks {
		records = append(records, KeyedRecord{Key: jobKey(keyJob, c.Job, i)})
	}
	return records, nil
}

func keyed(kind string, job cs.JobID, n int, r jobRecord) (KeyedRecord, error) {
	value, err := encoder.Marshal(r)
	return KeyedRecord{Key: jobKey(kind, job, n), Value: value}, err
}

func jobKey(kind string, job cs.JobID, n int) string {
	return kind + "/" + string(job) + "/" + strconv.Itoa(n)
}

// resultKey returns the key of a result. Each append has keys of its own: the store keeps the newest record
// of a key only, and the oldest of an item counts.
func resultKey(job cs.JobID, k gateway.ResultKey) string {
	return jobKey(keyResult, job, k.Index) + "/" + strconv.FormatUint(uint64(k.AppendID.Writer), 36) + "-" + strconv.FormatUint(k.AppendID.Number, 36)
}

// JobDecoder decodes the records of the job log; it holds the chunks of jobs that are not complete.
type JobDecoder struct{ partial map[cs.JobID]map[int][]byte }

// Reset forgets incomplete jobs.
func (d *JobDecoder) Reset() { d.partial = nil }

// Decode returns what a record says. The change is nil for a chunk that does not complete a job, for
// a removed key that says nothing of itself, and beside an error.
func (d *JobDecoder) Decode(key string, value []byte) (gateway.JobRecord, error) {
	if strings.HasPrefix(key, keyResult+"/") {
		key = key[:strings.LastIndexByte(key, '/')] // the value has the append id, too
	}
	kind, job, n, err := splitKey(key)
	if err != nil {
		return gateway.JobRecord{}, err
	}
	if len(value) == 0 {
		if kind == keyJob && n == 0 {
			return gateway.JobRecord{Change: gateway.JobRemoved{Job: job}}, nil
		}
		return gateway.JobRecord{}, nil
	}
	var r jobRecord
	if err := decoder.Unmarshal(value, &r); err != nil {
		return gateway.JobRecord{}, err
	}
	out := gateway.JobRecord{AppendID: gateway.AppendID{Writer: r.Writer, Number: r.Number}}
	switch {
	case kind == keyEnd:
		out.Change = gateway.JobEnded{Job: job}
	case kind == keyResult && r.Result != nil:
		out.Change = gateway.JobResultAppended{Job: job, Index: n, AppendID: out.AppendID, Result: *r.Result}
	case kind == keyItem && r.Progress != nil:
		out.Change = gateway.ProgressSaved{Job: job, Item: r.Item, Index: n, Progress: *r.Progress}
	case kind == keyJob:
		spec, err := d.join(job, n, r)
		if err != nil {
			return out, err
		}
		if spec != nil {
			out.Change = gateway.JobOpened{Spec: *spec}
		}
	default:
		return out, errors.Newf("record of an unknown kind under key %q", key)
	}
	return out, nil
}

// join adds a chunk and returns the specification once it is complete.
func (d *JobDecoder) join(job cs.JobID, n int, r jobRecord) (*gateway.JobSpec, error) {
	data := r.Chunk
	if r.Chunks > 1 {
		if d.partial == nil {
			d.partial = make(map[cs.JobID]map[int][]byte)
		}
		if d.partial[job] == nil {
			d.partial[job] = make(map[int][]byte)
		}
		d.partial[job][n] = r.Chunk
		if len(d.partial[job]) < r.Chunks {
			return nil, nil
		}
		data = nil
		for i := range r.Chunks {
			data = append(data, d.partial[job][i]...)
		}
		delete(d.partial, job)
	}
	var spec gateway.JobSpec
	if err := decoder.Unmarshal(data, &spec); err != nil {
		return nil, errors.Wrapf(err, "job %s", job)
	}
	return &spec, nil
}

func splitKey(key string) (kind string, job cs.JobID, n int, err error) {
	kind, rest, ok := strings.Cut(key, "/")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", "", 0, errors.Newf("key %q is not one of the job log", key)
	}
	n, err = strconv.Atoi(rest[i+1:])
	return kind, cs.JobID(rest[:i]), n, errors.Wrapf(err, "key %q", key)
}
