package quarantine

import cs "github.com/crocusstile/crocusstile"

// Refusal returns the refusal of a quarantined request. It reports the request as failed rather
// than not run, since the same content has run before and crashed its runner.
func Refusal() *cs.Refusal {
	return &cs.Refusal{
		Reason: cs.ReasonQuarantined, Ran: cs.RanFailed,
		Message: "failed, quarantined: this request has crashed runners",
	}
}
