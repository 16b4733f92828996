package wire

import (
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// The job log is a compacted topic: the store keeps the newest record of each key without a time limit.
// A job has one key for each chunk of its specification, one for each result, one for each item whose
// progress was saved, and one for its end:
//
//	j/JOB/CHUNK   the specification, in chunks that fit into a record
//	r/JOB/N/W-A   the result of item N as written by append A of process W
//	p/JOB/ITEM    the progress of an item
//	e/JOB/0       the end of the job
const (
	keyKindSpec     = "j"
	keyKindResult   = "r"
	keyKindProgress = "p"
	keyKindEnd      = "e"
)

// NewestJobLogFormat is the newest format that JobDecoder reads.
const NewestJobLogFormat = cs.JobLogCompressed

// recordOverheadBytes is an upper bound of the size of a record without its payload: key, append ID and counts.
const recordOverheadBytes = 512

var (
	jobEncoder = newJobEncoder()
	jobDecoder = newJobDecoder()
)

// newJobEncoder returns the encoding mode of the job log, which is deterministic: a snapshot may hold the chunks of a
// specification from two appends. It panics on inconsistent options, as newEncoder does.
func newJobEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newJobDecoder returns the decoding mode of the job log. Unlike in messages, a map may be the header of an item, with up to
// MaxElements fields.
func newJobDecoder() cbor.DecMode {
	options := decoderOptions()
	options.MaxMapPairs = MaxElements
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// MaxOutput returns the size of the largest output of an item whose result or progress fits into a record of
// maxRecord bytes.
func MaxOutput(maxRecord cs.Bytes) cs.Bytes { return maxRecord - 2*recordOverheadBytes }

// KeyedRecord is a record of a compacted topic; one without a value is a tombstone, which deletes its key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// jobRecord is the encoded value of a record of the job log.
type jobRecord struct {
	Writer cs.Incarnation  `cbor:"w"`
	Number uint64          `cbor:"n"`
	Chunks int             `cbor:"k,omitempty"`
	Chunk  []byte          `cbor:"c,omitempty"`
	Result *gateway.Result `cbor:"r,omitempty"`
	// Item is the id of the item that Progress refers to.
	Item     cs.ItemID         `cbor:"i,omitempty"`
	Progress *gateway.Progress `cbor:"p,omitempty"`
	// CompressedText is the text of Result or Progress if that one has none.
	CompressedText []byte `cbor:"z,omitempty"`
}

// EncodeJobChanges encodes job changes in a format as records of at most maxRecordBytes bytes each.
func EncodeJobChanges(id gateway.AppendID, changes []gateway.JobChange, format cs.JobLogFormat, maxRecordBytes int) ([]KeyedRecord, error) {
	var records []KeyedRecord
	for _, c := range changes {
		next, err := encodeChange(id, c, format, maxRecordBytes-recordOverheadBytes)
		if err != nil {
			return nil, err
		}
		records = append(records, next...)
	}
	return records, nil
}

func encodeChange(id gateway.AppendID, c gateway.JobChange, format cs.JobLogFormat, maxChunkBytes int) ([]KeyedRecord, error) {
	switch c := c.(type) {
	case gateway.JobOpened:
		return encodeSpec(id, c.Spec, maxChunkBytes)
	case gateway.JobResultAppended:
		return encodeResult(id, c, format, maxChunkBytes)
	case gateway.ProgressSaved:
		r := jobRecord{Writer: id.Writer, Number: id.Number, Item: c.Item, Progress: &c.Progress}
		if err := r.compress(c.Progress.Text, format); err != nil {
			return nil, err
		}
		encoded, err := encodeRecord(keyKindProgress, c.Job, c.Index, r)
		return []KeyedRecord{encoded}, err
	case gateway.JobEnded:
		r, err := encodeRecord(keyKindEnd, c.Job, 0, jobRecord{Writer: id.Writer, Number: id.Number})
		return []KeyedRecord{r}, err
	case gateway.JobRemoved:
		return encodeRemoval(c, maxChunkBytes)
	}
	return nil, ErrMissingValue
}

func encodeResult(id gateway.AppendID, c gateway.JobResultAppended, format cs.JobLogFormat, maxChunkBytes int) ([]KeyedRecord, error) {
	r := jobRecord{Writer: id.Writer, Number: id.Number, Result: &c.Result}
	if err := r.compress([]byte(c.Result.Text), format); err != nil {
		return nil, err
	}
	value, err := jobEncoder.Marshal(r)
	if err == nil && len(value) > maxChunkBytes {
		return nil, errors.Newf("result of %d bytes exceeds the maximum record size", len(value))
	}
	return []KeyedRecord{{Key: resultKey(c.Job, gateway.ResultKey{Index: c.Index, AppendID: c.AppendID}), Value: value}}, err
}

// splitSpec encodes a specification and splits it into chunks of at most maxChunkBytes bytes.
func splitSpec(spec gateway.JobSpec, maxChunkBytes int) ([][]byte, error) {
	data, err := jobEncoder.Marshal(spec)
	if err != nil {
		return nil, err
	}
	var chunks [][]byte
	for len(data) > maxChunkBytes {
		chunks = append(chunks, data[:maxChunkBytes])
		data = data[maxChunkBytes:]
	}
	return append(chunks, data), nil
}

func encodeSpec(id gateway.AppendID, spec gateway.JobSpec, maxChunkBytes int) ([]KeyedRecord, error) {
	chunks, err := splitSpec(spec, maxChunkBytes)
	if err != nil {
		return nil, err
	}
	records := make([]KeyedRecord, len(chunks))
	for i, chunk := range chunks {
		r := jobRecord{Writer: id.Writer, Number: id.Number, Chunks: len(chunks), Chunk: chunk}
		if records[i], err = encodeRecord(keyKindSpec, spec.ID, i, r); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// encodeRemoval returns tombstones for all keys of a job. Those of the specification are last, so that a
// reader that stops in between can still assign the remaining records to their job.
func encodeRemoval(c gateway.JobRemoved, maxChunkBytes int) ([]KeyedRecord, error) {
	chunks, err := splitSpec(c.Spec, maxChunkBytes)
	if err != nil {
		return nil, err
	}
	var records []KeyedRecord
	for _, key := range c.ResultKeys {
		records = append(records, KeyedRecord{Key: resultKey(c.Job, key)})
	}
	for _, i := range c.Progressed {
		records = append(records, KeyedRecord{Key: jobKey(keyKindProgress, c.Job, i)})
	}
	records = append(records, KeyedRecord{Key: jobKey(keyKindEnd, c.Job, 0)})
	for i := range chunks {
		records = append(records, KeyedRecord{Key: jobKey(keyKindSpec, c.Job, i)})
	}
	return records, nil
}

// PlaceholderRecord returns a record that only takes an offset: the tombstone of a key that no job has.
func PlaceholderRecord() KeyedRecord { return KeyedRecord{Key: jobKey(keyKindEnd, "", 0)} }

func encodeRecord(kind string, job cs.JobID, n int, r jobRecord) (KeyedRecord, error) {
	value, err := jobEncoder.Marshal(r)
	return KeyedRecord{Key: jobKey(kind, job, n), Value: value}, err
}

func jobKey(kind string, job cs.JobID, n int) string {
	return kind + "/" + string(job) + "/" + strconv.Itoa(n)
}

// resultKey returns the key of a result. The key includes the append ID, because the store keeps only the
// newest record of a key, while the oldest result of an item is the valid one.
func resultKey(job cs.JobID, k gateway.ResultKey) string {
	return jobKey(keyKindResult, job, k.Index) + "/" + strconv.FormatUint(uint64(k.AppendID.Writer), 36) + "-" + strconv.FormatUint(k.AppendID.Number, 36)
}

// JobDecoder decodes the records of the job log; it buffers the chunks of incomplete specifications.
type JobDecoder struct {
	chunks map[cs.JobID]map[int][]byte
	// inflater is reused from text to text.
	inflater io.ReadCloser
}

// Reset discards the buffered chunks.
func (d *JobDecoder) Reset() { d.chunks = nil }

// Decode decodes a record. The change is nil for a chunk that does not complete a specification, for a
// tombstone other than that of the first chunk, and if there is an error.
func (d *JobDecoder) Decode(key string, value []byte) (gateway.JobRecord, error) {
	if strings.HasPrefix(key, keyKindResult+"/") {
		key = key[:strings.LastIndexByte(key, '/')] // the value contains the append ID as well
	}
	kind, job, n, err := parseKey(key)
	if err != nil {
		return gateway.JobRecord{}, err
	}
	if len(value) == 0 {
		if kind == keyKindSpec && n == 0 {
			return gateway.JobRecord{Change: gateway.JobRemoved{Job: job}}, nil
		}
		return gateway.JobRecord{}, nil
	}
	var r jobRecord
	if err := jobDecoder.Unmarshal(value, &r); err != nil {
		return unreadable(kind, job, gateway.JobRecord{}), err
	}
	if err := r.decompress(&d.inflater); err != nil {
		return gateway.JobRecord{}, err
	}
	out := gateway.JobRecord{AppendID: gateway.AppendID{Writer: r.Writer, Number: r.Number}}
	switch {
	case kind == keyKindEnd:
		out.Change = gateway.JobEnded{Job: job}
	case kind == keyKindResult && r.Result != nil:
		out.Change = gateway.JobResultAppended{Job: job, Index: n, AppendID: out.AppendID, Result: *r.Result}
	case kind == keyKindProgress && r.Progress != nil:
		out.Change = gateway.ProgressSaved{Job: job, Item: r.Item, Index: n, Progress: *r.Progress}
	case kind == keyKindSpec:
		spec, err := d.addChunk(job, n, r)
		if err != nil {
			return unreadable(kind, job, out), err
		}
		if spec == nil {
			out.Partial = true
			return out, nil
		}
		out.Change = gateway.JobOpened{Spec: *spec}
	default:
		return out, errors.Newf("job log record with key %q has an unknown kind or lacks its payload", key)
	}
	return out, nil
}

// unreadable returns a record that could not be decoded.
func unreadable(kind string, job cs.JobID, r gateway.JobRecord) gateway.JobRecord {
	if kind == keyKindSpec {
		r.Unreadable = job
	}
	return r
}

// addChunk buffers a chunk and returns the specification once all of its chunks are there.
func (d *JobDecoder) addChunk(job cs.JobID, n int, r jobRecord) (*gateway.JobSpec, error) {
	data := r.Chunk
	if r.Chunks > 1 {
		if d.chunks == nil {
			d.chunks = make(map[cs.JobID]map[int][]byte)
		}
		if d.chunks[job] == nil {
			d.chunks[job] = make(map[int][]byte)
		}
		d.chunks[job][n] = r.Chunk
		if len(d.chunks[job]) < r.Chunks {
			return nil, nil
		}
		data = nil
		for i := range r.Chunks {
			data = append(data, d.chunks[job][i]...)
		}
		delete(d.chunks, job)
	}
	var spec gateway.JobSpec
	if err := jobDecoder.Unmarshal(data, &spec); err != nil {
		return nil, errors.Wrapf(err, "decode specification of job %s", job)
	}
	return &spec, nil
}

// parseKey parses a key without an append ID. The number n is the position of an item or chunk, below MaxElements.
func parseKey(key string) (kind string, job cs.JobID, n int, err error) {
	kind, rest, ok := strings.Cut(key, "/")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", "", 0, errors.Newf("malformed job log key %q", key)
	}
	position, err := strconv.ParseUint(rest[i+1:], 10, 32)
	if err != nil || position >= MaxElements {
		return "", "", 0, errors.Newf("malformed position in job log key %q", key)
	}
	return kind, cs.JobID(rest[:i]), int(position), nil
}
