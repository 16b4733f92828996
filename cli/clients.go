package cli

import (
	"encoding/json"
	"net/http"

	goahttp "goa.design/goa/v3/http"

	inferencehttp "github.com/crocusstile/crocusstile/gen/http/inference/client"
	jobshttp "github.com/crocusstile/crocusstile/gen/http/jobs/client"
	operationshttp "github.com/crocusstile/crocusstile/gen/http/operations/client"
	serviceshttp "github.com/crocusstile/crocusstile/gen/http/services/client"
)

func (s *session) inference() *inferencehttp.Client {
	return inferencehttp.NewClient("http", s.addr, s.exchange, goahttp.RequestEncoder, decoder, false)
}

func (s *session) services() *serviceshttp.Client {
	return serviceshttp.NewClient("http", s.addr, s.exchange, goahttp.RequestEncoder, decoder, false)
}

func (s *session) jobs() *jobshttp.Client {
	return jobshttp.NewClient("http", s.addr, s.exchange, goahttp.RequestEncoder, decoder, false)
}

func (s *session) operations() *operationshttp.Client {
	return operationshttp.NewClient("http", s.addr, s.exchange, goahttp.RequestEncoder, decoder, false)
}

// decoder decodes JSON responses with numbers as json.Number, because float64 would round large
// numbers in the response of a service.
func decoder(r *http.Response) goahttp.Decoder {
	d := json.NewDecoder(r.Body)
	d.UseNumber()
	return d
}
