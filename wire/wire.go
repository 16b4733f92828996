// Package wire encodes log batches and peer messages as CBOR (RFC 8949).
//
// Values behind sealed interfaces are encoded with the tag numbers in tag.go. A field that a decoder
// does not know is ignored, so that VMs of different versions can talk to each other; a tag that it
// does not know is an error of the whole message.
package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
)

// Limits of a message. They bound what a decoder allocates for a faulty input.
const (
	// MaxMessage is the longest encoding of a message or batch that is encoded or decoded.
	MaxMessage cs.Bytes = 32 << 20
	// MaxElements is the highest number of elements of an array. A job has up to 130,000 items.
	MaxElements = 200_000
	// maxNesting is the deepest nesting of arrays, maps and tags; a job inside a Forward has 9.
	maxNesting = 16
	// maxFields is the highest number of fields of a struct.
	maxFields = 64
)

// Errors of the package.
var (
	// ErrTooLarge says that an encoding is longer than MaxMessage.
	ErrTooLarge = errors.Newf("longer than %d bytes", MaxMessage)
	// ErrEmpty says that a value behind a sealed interface is missing.
	ErrEmpty = errors.New("a message, record, query or answer is missing")
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder panics if the options contradict each other, which no input can cause.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncModeWithTags(tagSet())
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder accepts text that is not UTF-8: generated text may break off inside a character, and a
// batch that no reader can decode would be lost.
func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      maxFields,
		IndefLength:      cbor.IndefLengthForbidden,
		UTF8:             cbor.UTF8DecodeInvalid,
	}
	mode, err := options.DecModeWithTags(tagSet())
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeBatch returns the encoding of a batch. The error is ErrTooLarge or ErrEmpty (a record is
// nil).
func EncodeBatch(b cs.LogBatch) ([]byte, error) {
	for _, r := range b.Records {
		if r == nil {
			return nil, errors.Wrap(ErrEmpty, "encode batch")
		}
	}
	return encode("batch", b)
}

// DecodeBatch reads what EncodeBatch wrote. The error is ErrTooLarge, ErrEmpty or one of the cbor
// library.
func DecodeBatch(data []byte) (cs.LogBatch, error) {
	var b cs.LogBatch
	if err := decode("batch", data, &b); err != nil {
		return cs.LogBatch{}, err
	}
	if err := valueRecords(b.Records); err != nil {
		return cs.LogBatch{}, errors.Wrap(err, "decode batch")
	}
	return b, nil
}

// EncodeMessage returns the encoding of a peer message. The error is ErrTooLarge or ErrEmpty.
func EncodeMessage(m cs.PeerMessage) ([]byte, error) {
	if m == nil {
		return nil, errors.Wrap(ErrEmpty, "encode message")
	}
	return encode("message", m)
}

// DecodeMessage reads what EncodeMessage wrote. The error is ErrTooLarge, ErrEmpty or one of the
// cbor library.
func DecodeMessage(data []byte) (cs.PeerMessage, error) {
	var m cs.PeerMessage
	if err := decode("message", data, &m); err != nil {
		return nil, err
	}
	if err := valueMessage(&m); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	return m, nil
}

func encode(kind string, v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", kind)
	}
	if len(data) > int(MaxMessage) {
		return nil, errors.Wrapf(ErrTooLarge, "encode %s of %d bytes", kind, len(data))
	}
	return data, nil
}

func decode(kind string, data []byte, v any) error {
	if len(data) > int(MaxMessage) {
		return errors.Wrapf(ErrTooLarge, "decode %s of %d bytes", kind, len(data))
	}
	if err := decoder.Unmarshal(data, v); err != nil {
		return errors.Wrapf(err, "decode %s", kind)
	}
	return nil
}
