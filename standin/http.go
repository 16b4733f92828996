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
	// maxBodyBytes limits the bodies of requests.
	maxBodyBytes = 8 << 20
	// headerNotRun tells the client that the request was not executed and never will be.
	headerNotRun = "X-Not-Run"
	// headerRequestID carries the request id in a call and in the response to it.
	headerRequestID = "X-Request-Id"
	// headerLoad carries the load of a service in its responses, as the JSON of a cs.Load.
	headerLoad = "X-Load"
)

// errorBody is the JSON body of a response with an error status.
type errorBody struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{Error: fmt.Sprintf(format, args...)})
}

// writeNotRun responds that the request was refused and not executed.
func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set(headerNotRun, "true")
	writeError(w, http.StatusServiceUnavailable, "%s", message)
}

// abort closes the connection without a response, or in the middle of one.
func abort() { panic(http.ErrAbortHandler) }

// readBody reads a whole body of up to limit bytes; if it returns false, it has sent an error response.
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

// readJSON decodes a whole body into v; if it returns false, it has sent an error response.
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

// writeJSONLines responds with the entries as JSON lines.
func writeJSONLines[T any](w http.ResponseWriter, entries []T) {
	w.Header().Set("Content-Type", "application/jsonl")
	enc := json.NewEncoder(w)
	for _, e := range entries {
		if enc.Encode(e) != nil {
			return
		}
	}
}

// pause blocks for the given time; it returns false if done is closed first.
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
