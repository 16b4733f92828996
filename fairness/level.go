package fairness

import "slices"

// Level returns the max-min fair share of a room that is divided between workspaces: those that offer less than the level get what they
// offer, and the others get the level each. It sorts its argument. If the room suffices for all, it returns the largest offer.
func Level(offered []Work, room Work) Work {
	slices.Sort(offered)
	for i, offer := range offered {
		if equal := room / Work(len(offered)-i); offer > equal {
			return equal
		}
		room -= offer
	}
	if len(offered) == 0 {
		return 0
	}
	return offered[len(offered)-1]
}
