package forward

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/budget"
)

// Limits of the responses that are held in memory until they are complete. A small VM serves dozens of requests at once.
const (
	// maxResponseBytes limits the size of one response that is not a stream.
	maxResponseBytes = 1 << 20
	// unreservedBytes of each response are not taken from the budget, so that most responses need none of it.
	unreservedBytes = 4 << 10
	// heldWait is how long a response waits for memory. It is short, since a faulty runner may keep the others from ending.
	heldWait = cs.Second
	// defaultMemory is the memory of a VM whose budget is not given.
	defaultMemory cs.Bytes = 256 << 20
	// initialBodyBytes is the size of the first buffer of a body.
	initialBodyBytes = 2 << 10
)

// errTooManyBytesHeld means that a response was given up since others take the memory that it needs.
var errTooManyBytesHeld = errors.New("responses that are held take all of their share of the memory")

// heldBody is the body of a response that is held in memory. It must be released.
type heldBody struct {
	data   []byte
	budget *budget.Budget
	holder *budget.Holder
	taken  cs.Bytes
}

// readHeld reads a body to its end. What it holds is taken from the budget for the caller of ctx. A body that is too large, or
// for which there is no room, is given up.
func readHeld(ctx context.Context, body io.Reader, b *budget.Budget) (*heldBody, error) {
	h := &heldBody{data: make([]byte, 0, initialBodyBytes), budget: b, holder: budget.HolderOf(ctx)}
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
		if err := h.grow(ctx); err != nil {
			h.release()
			return nil, err
		}
	}
}

// grow doubles the capacity, up to one byte more than a response may have.
func (h *heldBody) grow(ctx context.Context) error {
	size := min(2*cap(h.data), maxResponseBytes+1)
	if size == cap(h.data) {
		return errors.Newf("response exceeds the limit of %d bytes", maxResponseBytes)
	}
	if more := cs.Bytes(size) - unreservedBytes - h.taken; more > 0 {
		taken, ok := h.budget.Take(ctx, budget.Responses, more, cs.Bytes(size), heldWait)
		if !ok {
			return errTooManyBytesHeld
		}
		h.taken += taken
	}
	h.data = append(make([]byte, 0, size), h.data...)
	return nil
}

// release frees the body, which must not be used any more.
func (h *heldBody) release() {
	if h != nil {
		h.budget.GiveHeld(h.holder, budget.Responses, h.taken)
		h.data, h.taken = nil, 0
	}
}
