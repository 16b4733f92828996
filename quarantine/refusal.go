package quarantine

import cs "github.com/crocusstile/crocusstile"

// Refusal returns the refusal of a quarantined request. It says that the request failed, since the
// same content ran before and took its runner down.
func Refusal() *cs.Refusal {
	return &cs.Refusal{
		Reason: cs.ReasonQuarantined, Ran: cs.RanFailed,
		Message: "failed, quarantined: this request has crashed runners",
	}
}
