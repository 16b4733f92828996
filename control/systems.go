package control

import (
	"github.com/crocusstile/crocusstile/batch"
	"github.com/crocusstile/crocusstile/fleet"
	"github.com/crocusstile/crocusstile/job"
	"github.com/crocusstile/crocusstile/limit"
	"github.com/crocusstile/crocusstile/membership"
	"github.com/crocusstile/crocusstile/placement"
	"github.com/crocusstile/crocusstile/quarantine"
	"github.com/crocusstile/crocusstile/routing"
	"github.com/crocusstile/crocusstile/ticket"
)

// Systems returns the systems of a VM in the order in which a tick runs them: first those that update
// the state of VMs and runners, then those that end and start work, last those that write to the log
// and to peers.
func Systems() []fleet.System {
	return []fleet.System{
		membership.Track,
		membership.Drain,
		membership.AssignSenders,
		ticket.Decide,
		quarantine.Watch,
		limit.Observe,
		routing.Settle,
		routing.Admit,
		batch.Settle,
		limit.Adapt,
		routing.Dispatch,
		batch.Preempt,
		job.Follow,
		job.Serve,
		job.Grant,
		batch.Offer,
		placement.Order,
		job.Commit,
		membership.DialPeers,
		membership.Broadcast,
	}
}
