package forward

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Limits of the responses that are held in memory until they are complete. A small VM serves dozens of requests at once.
const (
	// maxResponseBytes limits the size of one response that is not a stream.
	maxResponseBytes = 1 << 20
	// maxHeldBytes limits what all of them take together, without the first unreservedBytes of each.
	maxHeldBytes    = 32 << 20
	unreservedBytes = 64 << 10
	// initialBodyBytes is the size of the first buffer of a body.
	initialBodyBytes = 2 << 10
)

// errTooManyBytesHeld means that a response was given up since others take the memory that it needs.
var errTooManyBytesHeld = errors.Newf("responses take more than %d bytes together", maxHeldBytes)

// heldBody is the body of a response that is held in memory. It must be released.
type heldBody struct {
	data     []byte
	limit    *semaphore.Weighted
	reserved int64
}

// readHeld reads a body to its end, of which limit has maxHeldBytes in total. A body that is too large is given up and not waited
// with, since a faulty runner may keep the others from ending.
func readHeld(body io.Reader, limit *semaphore.Weighted) (*heldBody, error) {
	h := &heldBody{data: make([]byte, 0, initialBodyBytes), limit: limit}
	for {
		n, err := body.Read(h.data[len(h.data):cap(h.data)])
		h.data = h.data[:len(h.data)+n]
		if errors.Is(err, io.EOF) {
			return h, nil
		}
		if err != nil {
			h.release()
			return nil, &InterruptedError{Cause: err, Disconnected: true}
		}
		if len(h.data) < cap(h.data) {
			continue
		}
		if err := h.grow(); err != nil {
			h.release()
			return nil, err
		}
	}
}

// grow doubles the capacity, up to one byte more than a response may have.
func (h *heldBody) grow() error {
	size := min(2*cap(h.data), maxResponseBytes+1)
	if size == cap(h.data) {
		return errors.Newf("response exceeds the limit of %d bytes", maxResponseBytes)
	}
	if more := int64(size) - unreservedBytes - h.reserved; more > 0 {
		if !h.limit.TryAcquire(more) {
			return errTooManyBytesHeld
		}
		h.reserved += more
	}
	h.data = append(make([]byte, 0, size), h.data...)
	return nil
}

// release frees the body, which must not be used any more.
func (h *heldBody) release() {
	if h != nil {
		h.limit.Release(h.reserved)
		h.data, h.reserved = nil, 0
	}
}
