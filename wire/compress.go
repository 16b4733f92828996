package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

const (
	// maxTextBytes bounds a text after decompression: the output of an item fits into a record before it is compressed, and
	// records are smaller than this.
	maxTextBytes = 1 << 20
	// minCompressedBytes is the size below which compression saves less than its header costs.
	minCompressedBytes = 256
)

// errTextTooLong means that a compressed text exceeds maxTextBytes.
var errTextTooLong = errors.New("compressed text is too long")

// compressors holds flate writers, which are too large to allocate one for each text.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return w
}}

// compress moves the text of the result or progress into CompressedText, if the format has that and it is shorter.
func (r *jobRecord) compress(text []byte, format cs.JobLogFormat) error {
	if format < cs.JobLogCompressed || len(text) > maxTextBytes {
		return nil
	}
	compressed, err := compressText(text)
	if err != nil || compressed == nil {
		return err
	}
	r.CompressedText = compressed
	if r.Result != nil {
		r.Result = &gateway.Result{Item: r.Result.Item, Done: r.Result.Done}
	}
	if r.Progress != nil {
		r.Progress = &gateway.Progress{LastEvent: r.Progress.LastEvent}
	}
	return nil
}

// decompress moves CompressedText back to the result or progress. The reader is reused if it is not nil.
func (r *jobRecord) decompress(reader *io.ReadCloser) error {
	if r.CompressedText == nil {
		return nil
	}
	text, err := decompressText(r.CompressedText, reader)
	if err != nil {
		return err
	}
	if r.Result != nil {
		r.Result.Text = string(text)
	}
	if r.Progress != nil {
		r.Progress.Text = text
	}
	r.CompressedText = nil
	return nil
}

// compressText returns a text in the DEFLATE format, or nil if that is not shorter.
func compressText(text []byte) ([]byte, error) {
	if len(text) < minCompressedBytes {
		return nil, nil
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if out.Len() >= len(text) {
		return nil, nil
	}
	return out.Bytes(), nil
}

// decompressText returns the text of compressed data. The reader is reused if it is not nil.
func decompressText(data []byte, reader *io.ReadCloser) ([]byte, error) {
	source := bytes.NewReader(data)
	if *reader == nil {
		*reader = flate.NewReader(source)
	} else if err := (*reader).(flate.Resetter).Reset(source, nil); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(*reader, maxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a text of the job log")
	}
	if len(text) > maxTextBytes {
		return nil, errTextTooLong
	}
	return text, nil
}
