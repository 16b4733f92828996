package limit

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// budgetWindow is the time over which retries are bounded to Config.RetryBudget of requests.
	budgetWindow = 10 * cs.Second
	// budgetSaved is the part of the window's budget that may be saved up; the rest accrues with
	// requests. Both together make the whole budget, so that no window has more.
	budgetSaved = 0.2
	// budgetReserve is the number of retries that may always be saved up, so that a request on an
	// idle VM can be retried.
	budgetReserve = 3
)

// Earn credits the retry budget with one request.
func Earn(t *fleet.Tables, now cs.Instant) {
	if self := t.VMs.Get(t.Self.ID); self != nil {
		self.Recent, self.RecentAt = recent(self, now)+1, now
	}
	t.Budget.Tokens += (1 - budgetSaved) * float64(t.Config.RetryBudget)
	limitSaved(t, now)
}

// Spend takes one retry or hedge out of the budget and reports whether it is allowed. Tokens are
// counted from the reserve on, so that they are negative while the reserve is in use.
func Spend(t *fleet.Tables, now cs.Instant) bool {
	limitSaved(t, now)
	if t.Budget.Tokens < 1-budgetReserve {
		t.Budget.Denied++
		return false
	}
	t.Budget.Tokens--
	t.Budget.Spent++
	return true
}

// SpendHedge takes a hedge out of the budget and reports whether it is allowed. It does not add to a
// use of the reserve, which retries of broken requests need more.
func SpendHedge(t *fleet.Tables, now cs.Instant) bool {
	if t.Budget.Tokens < 0 {
		t.Budget.Denied++
		return false
	}
	return Spend(t, now)
}

// limitSaved drops what exceeds the part of the budget that may be saved up.
func limitSaved(t *fleet.Tables, now cs.Instant) {
	most := 0.0
	if self := t.VMs.Get(t.Self.ID); self != nil {
		most = budgetSaved * float64(t.Config.RetryBudget) * recent(self, now)
	}
	t.Budget.Tokens = min(t.Budget.Tokens, max(most-budgetReserve, 0))
}

// recent returns the requests of the last window, as a sum that decays with its length.
func recent(self *fleet.VM, now cs.Instant) float64 {
	return self.Recent * math.Exp(-float64(now.Sub(self.RecentAt))/float64(budgetWindow))
}
