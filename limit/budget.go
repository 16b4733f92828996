package limit

import "github.com/crocusstile/crocusstile/fleet"

const (
	// budgetReserve is the number of retries allowed before any request has paid for one, so that
	// a request on an idle VM can be retried.
	budgetReserve = 2
	// budgetCap bounds the saved tokens. It is 10% of the requests of 10 s at 20 requests a second
	// and keeps a long quiet time from paying for a storm of retries.
	budgetCap = 20
)

// Earn credits the retry budget with one request.
func Earn(t *fleet.Tables) {
	t.Budget.Tokens = min(t.Budget.Tokens+float64(t.Config.RetryBudget), budgetCap)
}

// Spend takes one retry or hedge out of the budget and reports whether it is allowed.
func Spend(t *fleet.Tables) bool {
	if t.Budget.Tokens < 1-budgetReserve {
		t.Budget.Denied++
		return false
	}
	t.Budget.Tokens--
	t.Budget.Spent++
	return true
}
