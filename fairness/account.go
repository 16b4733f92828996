package fairness

import cs "github.com/crocusstile/crocusstile"

// Work is expected work at runners, in any unit that all workspaces share.
type Work float64

// idleTime is the time without work after which an account need not be kept. By then the work of others has moved the queue's clock
// beyond what the workspace has sent.
const idleTime = 80 * cs.Second

// Queue is the virtual clock of start-time fair queueing: the start tag of the work that was sent last.
type Queue struct {
	Clock Work
}

// Account is the state of a workspace in a queue. The zero value is that of a workspace that has sent nothing.
type Account struct {
	// Finish is the finish tag of the workspace's work that was sent last, at SentAt.
	Finish Work
	SentAt cs.Instant
}

// Start returns the start tag of the next work of an account.
func (q *Queue) Start(a *Account) Work { return max(q.Clock, a.Finish) }

// Send records that work of an account is sent.
func (q *Queue) Send(a *Account, w Work, now cs.Instant) {
	start := q.Start(a)
	q.Clock, a.Finish, a.SentAt = start, start+w, now
}

// IsIdle reports whether an account has nothing that a new one would not have, so that it need not be kept.
func (q *Queue) IsIdle(a *Account, now cs.Instant) bool {
	return a.Finish <= q.Clock && now.Sub(a.SentAt) > idleTime
}
