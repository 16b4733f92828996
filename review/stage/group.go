package stage

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// partitions is the number of partitions of a topic, as the settings name it.
const partitions = 8

// groups are the consumer groups of the store.
type groups struct {
	mu    sync.Mutex
	named map[string]*group
}

// group divides the partitions of a topic among the members that renew their membership.
type group struct {
	generation int64
	members    []*member
	// owners holds the owner of each partition, and targets the member that is to own it.
	owners, targets [partitions]*member
}

// member is a member of a group.
type member struct {
	name    string
	expires time.Time
	// generation is the last one that the member has named.
	generation int64
}

// call is the body of a call that joins or leaves a group.
type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

// ServeHTTP handles /log-join and /log-leave.
func (g *groups) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.Group == "" || c.Member == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.named == nil {
		g.named = make(map[string]*group)
	}
	if g.named[c.Group] == nil {
		g.named[c.Group] = &group{}
	}
	joined := g.named[c.Group]
	joined.expire(time.Now())
	answer := map[string]any{}
	if r.URL.Path == "/log-leave" {
		joined.remove(func(m *member) bool { return m.name == c.Member })
	} else {
		answer = map[string]any{"generation": joined.generation, "parts": joined.join(c)}
		answer["generation"] = joined.generation
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the caller has disconnected
}

// join renews a membership and returns the partitions of the member.
func (g *group) join(c groupCall) [][]any {
	i := slices.IndexFunc(g.members, func(m *member) bool { return m.name == c.Member })
	if i < 0 {
		i = len(g.members)
		g.members = append(g.members, &member{name: c.Member})
		g.deal()
	}
	m := g.members[i]
	m.expires, m.generation = time.Now().Add(time.Duration(c.TTL)*time.Millisecond), c.Generation
	parts := [][]any{}
	for p, owner := range g.owners {
		if owner != g.targets[p] && (owner == nil || owner.generation >= g.generation) {
			g.owners[p] = g.targets[p]
		}
		if g.owners[p] == m && g.targets[p] == m {
			parts = append(parts, []any{c.Topics[0], p, 0})
		}
	}
	return parts
}

// expire removes the members that have not renewed their membership.
func (g *group) expire(now time.Time) {
	g.remove(func(m *member) bool { return now.After(m.expires) })
}

// remove removes members, whose partitions are free at once.
func (g *group) remove(gone func(*member) bool) {
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

// deal divides the partitions evenly.
func (g *group) deal() {
	g.generation++
	for p := range g.targets {
		g.targets[p] = nil
		if len(g.members) > 0 {
			g.targets[p] = g.members[p%len(g.members)]
		}
	}
}
