package fairness

import (
	"math"

	cs "github.com/crocusstile/crocusstile"
)

// Work is expected work at runners, in any unit that all workspaces share, such as milliseconds of a slot.
type Work float64

// memory is the time in which what is remembered of earlier work falls to 1/e. With 6 s, a VM that gets two or three requests a second
// cannot tell a small workspace that floods it from one that happens to send two requests.
const memory = 20 * cs.Second

// negligibleAge is the age after which a recent sum, of which less than a fiftieth remains, counts as forgotten.
const negligibleAge = 4 * memory

// Recent is a sum of work of which earlier parts count for less.
type Recent struct {
	sum Work
	at  cs.Instant
}

// Add adds work.
func (r *Recent) Add(w Work, now cs.Instant) { r.sum, r.at = r.At(now)+w, now }

// At returns the sum as of now.
func (r *Recent) At(now cs.Instant) Work {
	if r.sum == 0 {
		return 0
	}
	return r.sum * Work(math.Exp(-float64(max(now.Sub(r.at), 0))/float64(memory)))
}

// PerMs returns the recent rate of the work, in work per millisecond.
func (r *Recent) PerMs(now cs.Instant) Work { return r.At(now) / Work(memory) }

// Queue is the virtual clock of start-time fair queueing: the start tag of the work that was sent last.
type Queue struct {
	Clock Work
	// Sent is the recent work of all accounts that was sent.
	Sent Recent
}

// Account is the state of a workspace in a queue. The zero value is that of a workspace that has sent nothing.
type Account struct {
	// Finish is the finish tag of the workspace's work that was sent last.
	Finish Work
	// Offered is the recent work that arrived, and Sent the recent work that was sent.
	Offered, Sent Recent
}

// Start returns the start tag of the next work of an account.
func (q *Queue) Start(a *Account) Work { return max(q.Clock, a.Finish) }

// Send records that work of an account is sent.
func (q *Queue) Send(a *Account, w Work, now cs.Instant) {
	start := q.Start(a)
	q.Clock, a.Finish = start, start+w
	a.Sent.Add(w, now)
	q.Sent.Add(w, now)
}

// IsIdle reports whether an account has nothing that a new one would not have, so that it need not be kept.
func (q *Queue) IsIdle(a *Account, now cs.Instant) bool {
	return a.Finish <= q.Clock && now.Sub(a.Offered.at) > negligibleAge && now.Sub(a.Sent.at) > negligibleAge
}
