package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gen/inference"
	"github.com/crocusstile/crocusstile/gen/jobs"
	"github.com/crocusstile/crocusstile/gen/operations"
	"github.com/crocusstile/crocusstile/gen/services"
)

// refusalBody has the fields that goa generates for the error of each service.
type refusalBody struct {
	Name    string
	Message string
	Field   *string
	Ran     string
}

// newRefusalBody returns an error as callers get it.
func newRefusalBody(err error) *refusalBody {
	var r *cs.Refusal
	if !errors.As(err, &r) {
		r = &cs.Refusal{Reason: cs.ReasonUnavailable, Ran: cs.RanUnknown, Message: err.Error()}
	}
	b := &refusalBody{Name: r.Reason.String(), Message: r.Message, Ran: r.Ran.String()}
	if r.Field != "" {
		b.Field = &r.Field
	}
	return b
}

// refusalFields returns the fields of a service's refusal, or nil for another error. goa sets the status
// of a refusal itself.
func refusalFields(err error) *refusalBody {
	switch e := err.(type) { //nolint:errorlint // goa hands the error over unwrapped
	case *inference.Refusal:
		return (*refusalBody)(e)
	case *services.Refusal:
		return (*refusalBody)(e)
	case *jobs.Refusal:
		return (*refusalBody)(e)
	case *operations.Refusal:
		return (*refusalBody)(e)
	}
	return nil
}

func inferenceError(err error) error  { return (*inference.Refusal)(newRefusalBody(err)) }
func servicesError(err error) error   { return (*services.Refusal)(newRefusalBody(err)) }
func jobsError(err error) error       { return (*jobs.Refusal)(newRefusalBody(err)) }
func operationsError(err error) error { return (*operations.Refusal)(newRefusalBody(err)) }

// errorBody is an error as callers get it.
type errorBody struct {
	Name    string `json:"name"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	Ran     string `json:"ran"`
	status  int
}

// StatusCode returns the HTTP status.
func (e errorBody) StatusCode() int { return e.status }

// formatError gives errors of goa's own the form of all others; goa also hands it the refusals.
func formatError(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // the name is goa's
	if b := refusalFields(err); b != nil {
		return errorBody{Name: b.Name, Message: b.Message, Field: deref(b.Field), Ran: b.Ran}
	}
	e := errorBody{Name: cs.ReasonInvalid.String(), Message: truncate(err.Error()), Ran: cs.RanNotRun.String(), status: http.StatusBadRequest}
	var goaErr *goa.ServiceError
	switch {
	case !errors.As(err, &goaErr):
		e.Name, e.Ran, e.status = "internal", cs.RanUnknown.String(), http.StatusInternalServerError
	case goaErr.Name == errNameTooLarge:
		e.status = http.StatusRequestEntityTooLarge
	case goaErr.Fault:
		e.Name, e.Ran, e.status = "internal", cs.RanUnknown.String(), http.StatusInternalServerError
	}
	if goaErr != nil && goaErr.Field != nil {
		e.Field = strings.TrimPrefix(*goaErr.Field, "body.")
	}
	return e
}

// maxMessageBytes bounds the message of an error of goa's, which shows the value that is wrong.
const maxMessageBytes = 500

func truncate(message string) string {
	if len(message) <= maxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
}

// errNameTooLarge names the error of a body above the limit.
const errNameTooLarge = "too_large"

// decoder reads a JSON body; it refuses unknown fields and keeps numbers as they are written.
func (f *Front) decoder(r *http.Request) goahttp.Decoder { return bodyDecoder{r.Body} }

type bodyDecoder struct{ body io.Reader }

// Decode reads one JSON value and names the field that is wrong.
func (d bodyDecoder) Decode(v any) error {
	dec := json.NewDecoder(d.body)
	dec.DisallowUnknownFields()
	dec.UseNumber()
	err := dec.Decode(v)
	if errors.Is(err, io.EOF) {
		return err // goa says that the body is missing
	}
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		if !errors.HasType(err, (*http.MaxBytesError)(nil)) {
			err = errors.New("more than one JSON value in the body")
		}
	}
	return decodeError(err)
}

// decodeError returns what is wrong with a body as an error that goa passes on.
func decodeError(err error) error {
	name, field := goa.DecodePayload, ""
	var (
		wrongType *json.UnmarshalTypeError
		tooLarge  *http.MaxBytesError
	)
	message := err.Error()
	switch {
	case errors.As(err, &tooLarge):
		name, message = errNameTooLarge, "the body is larger than the limit"
	case errors.As(err, &wrongType):
		field = wrongType.Field
		message = "must be of type " + wrongType.Type.String() + ", not " + wrongType.Value
	case strings.HasPrefix(message, "json: unknown field "):
		field = strings.Trim(strings.TrimPrefix(message, "json: unknown field "), `"`)
		message = "is not a known field"
	case errors.Is(err, io.ErrUnexpectedEOF):
		message = "the JSON value breaks off"
	}
	e := goa.NewServiceError(errors.New(message), name, false, false, false)
	if field != "" {
		e.Field = &field
	}
	return e
}
