package allowance

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

// Settle takes back the permits of requests that have ended without being sent. It must run after the system that sends requests
// and before any that deletes one that was sent, which would be taken for one that was not.
func Settle(t *gateway.Tables, now cs.Instant, _ *gateway.Actions) {
	if t.Config.Quota.Window == 0 {
		return
	}
	boot := t.BootTime(now)
	for _, use := range t.Allowance.Uses.All() {
		use.Held = slices.DeleteFunc(use.Held, func(h gateway.HeldPermit) bool {
			switch f := t.Forwards.Get(h.Request); {
			case boot >= h.Until || f != nil && f.Attempt > 0:
				return true
			case f == nil:
				returnPermit(use, h)
				return true
			default:
				return false
			}
		})
	}
}

// returnPermit adds a permit to the lease that it was taken from.
func returnPermit(use *gateway.WorkspaceUse, h gateway.HeldPermit) {
	i := slices.IndexFunc(use.Leases, func(l gateway.PermitLease) bool { return l.Until >= h.Until })
	switch {
	case i < 0:
		use.Leases = append(use.Leases, gateway.PermitLease{Permits: 1, Until: h.Until})
	case use.Leases[i].Until == h.Until:
		use.Leases[i].Permits++
	default:
		use.Leases = slices.Insert(use.Leases, i, gateway.PermitLease{Permits: 1, Until: h.Until})
	}
}

// removeIdleUses ends the refusal of workspaces without refusals, and removes the rows of those without requests.
func removeIdleUses(t *gateway.Tables, now cs.Instant, out *gateway.Actions) {
	boot := t.BootTime(now)
	t.Allowance.Uses.DeleteFunc(func(id cs.WorkspaceID, use *gateway.WorkspaceUse) bool {
		if use.LimitedSince != 0 && now.Sub(use.LastRefusedAt) >= limitEndDelay {
			out.Note(gateway.Note{Kind: gateway.NoteWorkspaceUnlimited, Workspace: id, Count: use.Refused, Duration: use.LastRefusedAt.Sub(use.LimitedSince)})
			use.LimitedSince = 0
		}
		return use.LimitedSince == 0 && len(use.Held) == 0 && boot.Sub(use.DemandAt) >= limitEndDelay
	})
}
