package setting

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	cs "github.com/crocusstile/crocusstile"
)

// Load reads the settings from a file. If they are invalid, the chain of the returned error contains an
// Errors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse reads the settings from JSON. If they are invalid, the returned error is an Errors.
func Parse(data []byte) (Settings, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Settings{}, Errors{{Message: "is not valid JSON: " + err.Error()}}
	}
	if errs := validate(doc); len(errs) > 0 {
		return Settings{}, errs
	}
	s := Default()
	if err := json.Unmarshal(data, &s); err != nil {
		return Settings{}, Errors{{Message: err.Error()}}
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if errs := s.checkRelations(); len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// checkRelations checks conditions that the schema cannot express: that peers can dial the advertised
// address, and which of two times must be shorter.
func (s Settings) checkRelations() Errors {
	var errs Errors
	if a, err := netip.ParseAddrPort(string(s.Advertise)); err != nil || a.Addr().IsUnspecified() {
		errs = append(errs, Error{"advertise", `peers cannot dial ` + string(s.Advertise) +
			`; should be an address of this VM such as "10.0.1.7:8080"`})
	}
	c := s.Parameters
	errs = append(errs, requireShorter("control.renewal", c.Renewal, "control.lease", c.Lease)...)
	errs = append(errs, requireShorter("control.heartbeat", c.Heartbeat, "control.peerTimeout", c.PeerTimeout)...)
	errs = append(errs, requireShorter("control.lease", c.Lease, "control.retention", c.Retention)...)
	return errs
}

// requireShorter checks that one time span is shorter than another.
func requireShorter(path string, s cs.Span, limitPath string, limit cs.Span) Errors {
	if s < limit {
		return nil
	}
	return Errors{{path, "is " + s.String() + "; should be shorter than " + limitPath + ", which is " + limit.String()}}
}
