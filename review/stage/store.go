package stage

import (
	"encoding/binary"
	"io"
	"net/http"
	"strings"

	"github.com/crocusstile/crocusstile/standin"
)

// MaxCallBytes is the largest total size of the records of one append, as the settings name it.
const MaxCallBytes = 2097152

// storeLimits rejects what exceeds the limits of the store that its settings name, and passes everything else on.
type storeLimits struct{ store *standin.Store }

// ServeHTTP handles one call.
func (l storeLimits) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/log-append" && recordBytes(body) > MaxCallBytes {
		r.Body = io.NopCloser(strings.NewReader(""))
		l.reject(w, r)
		return
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	l.store.ServeHTTP(w, r)
}

// reject answers an append that is too large with 413, or as the store answers every call while it is down.
func (l storeLimits) reject(w http.ResponseWriter, r *http.Request) {
	r.URL.Path = "/too-large" // for which the store has 404 while it is up, and its outage otherwise
	l.store.ServeHTTP(&tooLarge{w}, r)
}

// tooLarge replaces the status 404.
type tooLarge struct{ http.ResponseWriter }

// WriteHeader sends the status.
func (t *tooLarge) WriteHeader(status int) {
	if status == http.StatusNotFound {
		status = http.StatusRequestEntityTooLarge
	}
	t.ResponseWriter.WriteHeader(status)
}

// recordBytes returns the total size of the records of an append.
func recordBytes(body []byte) int {
	total := 0
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		total += n
		body = body[min(4+n, len(body)):]
	}
	return total
}
