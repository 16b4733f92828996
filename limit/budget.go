package limit

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/fleet"
)

const (
	// budgetWindow is the time window in which retries are limited to the share Config.RetryBudget
	// of requests.
	budgetWindow = 10 * cs.Second
	// budgetBurstShare is the share of the window's budget that may be saved for a burst; the
	// remainder is earned request by request. The two shares add up to the whole budget, so no
	// window exceeds it.
	budgetBurstShare = 0.2
	// budgetReserve is the number of retries available regardless of traffic, so that a request on
	// an idle VM can be retried.
	budgetReserve = 3
)

// CreditRetryBudget credits the retry budget for one new request.
func CreditRetryBudget(t *fleet.Tables, now cs.Instant) {
	if self := t.VMs.Get(t.Self.ID); self != nil {
		self.RecentRequests, self.RecentRequestsAt = recentRequests(self, now)+1, now
	}
	t.Budget.Tokens += (1 - budgetBurstShare) * float64(t.Config.RetryBudget)
	capBudget(t, now)
}

// TakeRetry takes one retry or hedge from the budget and reports whether it is allowed. The token
// count is relative to the reserve: it is negative while the reserve is in use.
func TakeRetry(t *fleet.Tables, now cs.Instant) bool {
	capBudget(t, now)
	if t.Budget.Tokens < 1-budgetReserve {
		t.Budget.Denied++
		return false
	}
	t.Budget.Tokens--
	t.Budget.Spent++
	return true
}

// TakeHedge takes a hedge from the budget and reports whether it is allowed. Hedges may not draw
// on the reserve once it is in use; it is kept for retries of interrupted requests.
func TakeHedge(t *fleet.Tables, now cs.Instant) bool {
	if t.Budget.Tokens < 0 {
		t.Budget.Denied++
		return false
	}
	return TakeRetry(t, now)
}

// capBudget limits the saved tokens to the burst share of the window's budget.
func capBudget(t *fleet.Tables, now cs.Instant) {
	burst := 0.0
	if self := t.VMs.Get(t.Self.ID); self != nil {
		burst = budgetBurstShare * float64(t.Config.RetryBudget) * recentRequests(self, now)
	}
	t.Budget.Tokens = min(t.Budget.Tokens, max(burst-budgetReserve, 0))
}

// recentRequests returns the number of requests in the last window as an exponentially decaying
// sum.
func recentRequests(self *fleet.VM, now cs.Instant) float64 {
	return self.RecentRequests * math.Exp(-float64(now.Sub(self.RecentRequestsAt))/float64(budgetWindow))
}
