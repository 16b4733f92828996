package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// faults holds the settings of a stand-in that can change at run time. It is guarded by a mutex
// because traffic goroutines read and count down settings without asking the owner of the state.
type faults[F any] struct {
	mu  sync.Mutex
	set F
	// changed is called with the new settings before a request to set them is answered; may be nil.
	onChange func(context.Context, F)
}

// get returns the present settings.
func (f *faults[F]) get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// update changes the settings.
func (f *faults[F]) update(set func(*F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.set)
}

// take counts down the field that the function selects; it returns false if it is 0.
func (f *faults[F]) consume(field func(*F) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := field(&f.set)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP sets the fields named in the body and leaves the others; unknown fields are refused.
func (f *faults[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	f.mu.Lock()
	set := f.set
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(&set)
	if err == nil {
		f.set = set
	}
	f.mu.Unlock()
	if err != nil {
		writeError(w, http.StatusBadRequest, "cannot set the faults: %v", err)
		return
	}
	if f.onChange != nil {
		f.onChange(r.Context(), set)
	}
	writeJSON(w, http.StatusOK, set)
}
