// Package wire encodes log batches and peer messages as CBOR (RFC 8949).
//
// Values of sealed interfaces are encoded with the tag numbers in tag.go. Decoders ignore unknown fields,
// so that VMs of different versions can communicate; an unknown tag makes decoding of the whole message
// fail.
package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	cs "github.com/crocusstile/crocusstile"
)

// Limits of an encoded message. They bound the memory that a decoder allocates for malformed input.
const (
	// MaxMessage is the maximum size of an encoded message or batch.
	MaxMessage cs.Bytes = 32 << 20
	// MaxElements is the maximum number of elements of an array. A job has up to 130,000 items.
	MaxElements = 200_000
	// maxNesting is the maximum nesting depth of arrays, maps and tags; a job in a Forward has depth 9.
	maxNesting = 16
	// maxFields is the maximum number of fields of a struct.
	maxFields = 64
)

// Errors that encoding and decoding functions return.
var (
	// ErrTooLarge means that an encoding is longer than MaxMessage.
	ErrTooLarge = errors.Newf("longer than %d bytes", MaxMessage)
	// ErrMissingValue means that a required value of a sealed interface is nil.
	ErrMissingValue = errors.New("message, record, query or answer is nil")
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns the shared encoding mode. It panics on inconsistent options, which would be a
// programming error independent of any input.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncModeWithTags(newTagSet())
	if err != nil {
		panic(err)
	}
	return mode
}

// decoderOptions returns the options of decoders. They accept strings that are not valid UTF-8: generated text may be cut
// inside a character, and a batch that no reader can decode would be lost.
func decoderOptions() cbor.DecOptions {
	return cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      maxFields,
		IndefLength:      cbor.IndefLengthForbidden,
		UTF8:             cbor.UTF8DecodeInvalid,
	}
}

// newDecoder returns the shared decoding mode. It panics on inconsistent options, as newEncoder does.
func newDecoder() cbor.DecMode {
	mode, err := decoderOptions().DecModeWithTags(newTagSet())
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeBatch encodes a batch. The error is ErrTooLarge, or ErrMissingValue if a record is nil.
func EncodeBatch(b cs.LogBatch) ([]byte, error) {
	for _, r := range b.Records {
		if r == nil {
			return nil, errors.Wrap(ErrMissingValue, "encode batch")
		}
	}
	return encode("batch", b)
}

// DecodeBatch decodes the output of EncodeBatch. The error is ErrTooLarge, ErrMissingValue or one
// of the cbor library.
func DecodeBatch(data []byte) (cs.LogBatch, error) {
	var b cs.LogBatch
	if err := decode("batch", data, &b); err != nil {
		return cs.LogBatch{}, err
	}
	if err := dereferenceRecords(b.Records); err != nil {
		return cs.LogBatch{}, errors.Wrap(err, "decode batch")
	}
	return b, nil
}

// EncodeMessage encodes a peer message. The error is ErrTooLarge, or ErrMissingValue if the message
// is nil.
func EncodeMessage(m cs.PeerMessage) ([]byte, error) {
	if m == nil {
		return nil, errors.Wrap(ErrMissingValue, "encode message")
	}
	return encode("message", m)
}

// DecodeMessage decodes the output of EncodeMessage. The error is ErrTooLarge, ErrMissingValue or
// one of the cbor library.
func DecodeMessage(data []byte) (cs.PeerMessage, error) {
	var m cs.PeerMessage
	if err := decode("message", data, &m); err != nil {
		return nil, err
	}
	if err := dereferenceMessage(&m); err != nil {
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
