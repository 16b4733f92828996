package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	cs "github.com/crocusstile/crocusstile"
)

const (
	// maxBody bounds the bodies of requests, in bytes.
	maxBodyBytes = 8 << 20
	// headerNotRun says that the request did not start and never will.
	headerNotRun = "X-Not-Run"
	// headerRequestID carries the id of a call and of its answer.
	headerRequestID = "X-Request-Id"
	// headerLoad carries the load of a service with an answer, as the JSON of a load.
	headerLoad = "X-Load"
)

// errorBody is the JSON of an answer with an error status.
type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client is gone if this fails
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// refuseNotRun answers that the request did not start.
func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set(headerNotRun, "true")
	writeError(w, http.StatusServiceUnavailable, "%s", message)
}

// abort breaks the connection without an answer, or in the middle of one.
func abort() { panic(http.ErrAbortHandler) }

// readBody reads a whole body of up to limit bytes; if it returns false, the request is answered.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		writeError(w, http.StatusBadRequest, "cannot read the body: %v", err)
		return nil, false
	}
	if int64(len(body)) > limit {
		writeError(w, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
		return nil, false
	}
	return body, true
}

// readJSON reads a whole body into v; if it returns false, the request is answered.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		writeError(w, http.StatusBadRequest, "cannot decode the body: %v", err)
		return false
	}
	return true
}

// writeLines writes the entries as JSON lines.
func writeJSONLines[T any](w http.ResponseWriter, entries []T) {
	w.Header().Set("Content-Type", "application/jsonl")
	enc := json.NewEncoder(w)
	for _, e := range entries {
		if enc.Encode(e) != nil {
			return
		}
	}
}

// pause waits for the span; it returns false if done is closed first.
func pause(done <-chan struct{}, s cs.Span) bool {
	if s <= 0 {
		return true
	}
	timer := time.NewTimer(s.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
