package stage

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/crocusstile/crocusstile/standin"
)

// MaxCallBytes is the largest total size of the records of one append, as the settings name it.
const MaxCallBytes = 2097152

// store is the project's stand-in, with the limit on the size of appends that the settings name, and with groups whose members
// expire.
type store struct {
	standin *standin.Store
	groups  groups
}

// ServeHTTP handles one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	switch {
	case r.URL.Path == "/log-append" && recordBytes(body) > MaxCallBytes:
		s.whileUp(w, r, func() { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	case r.URL.Path == "/log-join" || r.URL.Path == "/log-leave":
		s.whileUp(w, r, func() {
			r.Body = io.NopCloser(bytes.NewReader(body))
			s.groups.ServeHTTP(w, r)
		})
	default:
		s.standin.ServeHTTP(w, r)
	}
}

// whileUp handles a call while the stand-in is up; otherwise the stand-in answers as its mode says. It has 404 for unknown paths
// while it is up.
func (s *store) whileUp(w http.ResponseWriter, r *http.Request, handle func()) {
	probe := r.Clone(r.Context())
	probe.URL.Path = "/up"
	s.standin.ServeHTTP(&upWriter{ResponseWriter: w, handle: handle}, probe)
}

// upWriter handles a call in place of the status 404.
type upWriter struct {
	http.ResponseWriter
	handle func()
}

// WriteHeader sends the status.
func (u *upWriter) WriteHeader(status int) {
	if status == http.StatusNotFound {
		u.handle()
		return
	}
	u.ResponseWriter.WriteHeader(status)
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
