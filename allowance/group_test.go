package allowance_test

import (
	"slices"

	cs "github.com/crocusstile/crocusstile"
)

// simMember is a member of the store's group.
type simMember struct {
	vm          int
	incarnation cs.Incarnation
	expires     cs.Instant
	generation  int
}

// simGroup is the store's group: a partition moves only when its owner has confirmed the generation in which it lost it, has left,
// or has not renewed its membership for the timeout.
type simGroup struct {
	timeout    cs.Span
	members    []*simMember
	generation int
	owners     [simPartitions]*simMember
	targets    [simPartitions]*simMember
	shift      int
}

// join renews a membership and returns the generation and the partitions of the member.
func (g *simGroup) join(vm int, incarnation cs.Incarnation, generation int, now cs.Instant) (int, []int) {
	g.remove(func(m *simMember) bool { return now > m.expires })
	i := slices.IndexFunc(g.members, func(m *simMember) bool { return m.vm == vm && m.incarnation == incarnation })
	if i < 0 {
		i = len(g.members)
		g.members = append(g.members, &simMember{vm: vm, incarnation: incarnation})
		g.deal()
	}
	m := g.members[i]
	m.expires, m.generation = now.Add(g.timeout), generation
	var partitions []int
	for p, owner := range g.owners {
		if owner != g.targets[p] && (owner == nil || owner.generation >= g.generation) {
			g.owners[p] = g.targets[p]
		}
		if g.owners[p] == m && g.targets[p] == m {
			partitions = append(partitions, p)
		}
	}
	return g.generation, partitions
}

// remove removes members, whose partitions are free at once.
func (g *simGroup) remove(gone func(*simMember) bool) {
	before := len(g.members)
	g.members = slices.DeleteFunc(g.members, gone)
	if len(g.members) == before {
		return
	}
	for p, owner := range g.owners {
		if owner != nil && !slices.Contains(g.members, owner) {
			g.owners[p] = nil
		}
	}
	g.deal()
}

// deal divides the partitions.
func (g *simGroup) deal() {
	g.generation++
	for p := range g.targets {
		g.targets[p] = nil
		if len(g.members) > 0 {
			g.targets[p] = g.members[(p+g.shift)%len(g.members)]
		}
	}
}
