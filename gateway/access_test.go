package gateway_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	cs "github.com/crocusstile/crocusstile"
	"github.com/crocusstile/crocusstile/gateway"
)

func keyedCatalog(n int) *cs.Catalog {
	workspaces := make([]cs.Workspace, n)
	for i := range workspaces {
		workspaces[i] = cs.Workspace{
			ID:   cs.WorkspaceID(fmt.Sprint("w-", i)),
			Keys: []cs.KeyDigest{cs.DigestKey(fmt.Sprint("key-a-", i)), cs.DigestKey(fmt.Sprint("key-b-", i))},
		}
	}
	return cs.NewCatalog(1, nil, nil, cs.CallerLimits{}).WithWorkspaces(workspaces)
}

// Guards against a request that runs without a known key, a final 401 by a catalog that may lack the key, a withdrawn key that is
// accepted by an old catalog, and a call about a job that is served for the wrong workspace while its key cannot be judged.
func TestAuthorize(t *testing.T) {
	const unauthorized, unavailable = cs.ReasonUnauthorized, cs.ReasonUnavailable
	known, unknown, none := cs.DigestKey("key-b-1"), cs.DigestKey("other"), cs.KeyDigest{}
	old := 10 * cs.Second
	for name, test := range map[string]struct {
		request gateway.AccessRequest
		want    cs.WorkspaceID
		reason  cs.Reason
		denied  bool
	}{
		"known key":                            {request: gateway.AccessRequest{Key: known}, want: "w-1"},
		"known key, old catalog, no bound":     {request: gateway.AccessRequest{Key: known, Age: old, BootAge: old}, want: "w-1"},
		"unknown key":                          {request: gateway.AccessRequest{Key: unknown}, denied: true, reason: unauthorized},
		"no key":                               {request: gateway.AccessRequest{Key: none}, denied: true, reason: unauthorized},
		"unknown key, old catalog":             {request: gateway.AccessRequest{Key: unknown, Age: 2001}, denied: true, reason: unavailable},
		"no key, old catalog":                  {request: gateway.AccessRequest{Key: none, Age: 2001}, denied: true, reason: unavailable},
		"unknown key, after a suspension":      {request: gateway.AccessRequest{Key: unknown, BootAge: old}, denied: true, reason: unavailable},
		"unknown key, unreadable version":      {request: gateway.AccessRequest{Key: unknown, Unreadable: true}, denied: true, reason: unavailable},
		"known key within the bound":           {request: gateway.AccessRequest{Key: known, RevokeBound: 3000, BootAge: 2900}, want: "w-1"},
		"known key within the margin":          {request: gateway.AccessRequest{Key: known, RevokeBound: 3000, BootAge: 2901}, denied: true, reason: unavailable},
		"public, no key":                       {request: gateway.AccessRequest{Key: none, Public: true}},
		"public, unknown key, old catalog":     {request: gateway.AccessRequest{Key: unknown, Public: true, Age: old}},
		"public, known key":                    {request: gateway.AccessRequest{Key: known, Public: true}, want: "w-1"},
		"public, unconfirmed key":              {request: gateway.AccessRequest{Key: known, Public: true, RevokeBound: 3000, BootAge: old}},
		"public job, no key, old catalog":      {request: gateway.AccessRequest{Key: none, Public: true, ForJob: true, Age: old}},
		"public job, unknown key":              {request: gateway.AccessRequest{Key: unknown, Public: true, ForJob: true}},
		"public job, unknown key, old catalog": {request: gateway.AccessRequest{Key: unknown, Public: true, ForJob: true, Age: old}, denied: true, reason: unavailable},
		"public job, unconfirmed key": {
			request: gateway.AccessRequest{Key: known, Public: true, ForJob: true, RevokeBound: 3000, BootAge: old}, denied: true, reason: unavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test.request.Catalog = keyedCatalog(2)
			switch a := gateway.Authorize(&test.request).(type) {
			case gateway.AccessDenied:
				c.Assert(test.denied, qt.IsTrue)
				c.Assert(a.Refusal.Reason, qt.Equals, test.reason)
				c.Assert(a.Refusal.Ran, qt.Equals, cs.RanNotRun)
			case gateway.AccessGranted:
				c.Assert(test.denied, qt.IsFalse)
				id := cs.WorkspaceID("")
				if a.Workspace != nil {
					id = a.Workspace.ID
				}
				c.Assert(id, qt.Equals, test.want)
			}
		})
	}
}

// Guards against a deployment without workspaces in which requests need a key.
func TestAuthorizeWithoutWorkspaces(t *testing.T) {
	a := gateway.Authorize(&gateway.AccessRequest{
		Catalog: cs.NewCatalog(1, nil, nil, cs.CallerLimits{}), Key: cs.DigestKey("x"), Age: cs.Minute, BootAge: cs.Minute, RevokeBound: 1000,
	})
	qt.Assert(t, a, qt.Equals, gateway.Access(gateway.AccessGranted{}))
}

// Guards against admission that allocates, or that takes longer with many workspaces.
func TestAuthorizeDoesNotAllocate(t *testing.T) {
	catalog := keyedCatalog(11_000)
	key := fmt.Sprintf("%-64s", "key-b-7")
	allocations := testing.AllocsPerRun(100, func() {
		gateway.Authorize(&gateway.AccessRequest{Catalog: catalog, Key: cs.DigestKey(key)})
		gateway.Authorize(&gateway.AccessRequest{Catalog: catalog, Key: cs.DigestKey("key-b-7"), RevokeBound: 3000})
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// BenchmarkAuthorize measures the decision about a request, its digest and the reads of the clock.
func BenchmarkAuthorize(b *testing.B) {
	for _, n := range []int{88, 11_000} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			catalog, clock := keyedCatalog(n), cs.NewClock()
			keys := make([]string, n)
			for i := range keys {
				keys[i] = fmt.Sprint("key-b-", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 7919) % n
				a := gateway.Authorize(&gateway.AccessRequest{
					Catalog: catalog, Key: cs.DigestKey(keys[i]), BootAge: clock.BootNow().Sub(0) % 10, RevokeBound: 3000,
				})
				if _, ok := a.(gateway.AccessGranted); !ok {
					b.Fatal("denied")
				}
			}
		})
	}
}
