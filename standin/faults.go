package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// faults holds the fault settings of a stand-in and serves requests to change them. A mutex guards them
// because the goroutines of requests read settings and decrement counters without a message to the owner
// of the state.
type faults[F any] struct {
	mu  sync.Mutex
	set F
	// onChange, unless nil, is called with the new settings before the response to the request that set them.
	onChange func(context.Context, F)
}

// get returns the current settings.
func (f *faults[F]) get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set
}

// update lets a function change the settings.
func (f *faults[F]) update(set func(*F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(&f.set)
}

// consume decrements the counter that the function selects; it returns false if the counter is 0.
func (f *faults[F]) consume(field func(*F) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	counter := field(&f.set)
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// ServeHTTP sets the fields that the JSON body contains and leaves the others; it rejects unknown fields.
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
