package gateway

import cs "github.com/crocusstile/crocusstile"

// AccessRequest is what decides whether a request may run, and for which workspace.
type AccessRequest struct {
	// Catalog is the newest version known.
	Catalog *cs.Catalog
	// Key is the digest of the key that the request shows, or zero.
	Key cs.KeyDigest
	// Public means that the request needs no key.
	Public bool
	// ForJob means that the request finds or creates a job, which belongs to a workspace: without its key it would miss the job.
	ForJob bool
	// Age is the time from the instant for which Catalog is known to have been the newest version to the arrival of the request,
	// and BootAge the one from when the read was sent that confirmed it, on the clock that counts suspension.
	Age, BootAge cs.Span
	// Unreadable means that a newer version could not be decoded.
	Unreadable bool
	// RevokeBound is that of Config.
	RevokeBound cs.Span
}

// Access is the decision about a request; a sealed type.
type Access interface{ isAccess() }

// The decisions about a request.
type (
	// AccessGranted means that the request may run. Workspace is nil if it runs for none.
	AccessGranted struct{ Workspace *cs.Workspace }
	// AccessDenied means that the request must not run.
	AccessDenied struct{ Refusal *cs.Refusal }
)

func (AccessGranted) isAccess() {}
func (AccessDenied) isAccess()  {}

// MaxCatalogAge is the age of the catalog above which it may lack routes and keys: the operator expects a new version to be in
// force everywhere within this time.
const MaxCatalogAge = 2 * cs.Second

// maxCatalogBootAge is the largest age on the clock that counts suspension at which a catalog of at most MaxCatalogAge may be. It is
// counted from when a long poll was sent, two of which take 1.8 s.
const maxCatalogBootAge = 2 * MaxCatalogAge

// Limits of the margin by which the age of the catalog must stay below the bound of the withdrawal of keys. It covers the difference
// between the clocks of VMs and store, which may run faster or slower by 0.05%, and instants that are rounded to milliseconds.
const (
	revokeMarginShare = 20
	maxRevokeMargin   = 100 * cs.Millisecond
)

// maxConfirmedAge returns the largest age of a catalog by which keys are accepted under a bound.
func maxConfirmedAge(bound cs.Span) cs.Span {
	return bound - min(max(bound/revokeMarginShare, 2*cs.Millisecond), maxRevokeMargin)
}

// Confirmation tells whether the catalog is known to be new enough for the withdrawal of keys.
type Confirmation struct {
	// Aged means that the age of the catalog exceeds half of the bound, so that callers should use other VMs before requests are refused.
	Aged bool
	// Expired means that requests with a key are refused.
	Expired bool
}

// NeedsConfirmation reports whether keys are accepted only while the catalog is known to be new enough.
func (t *Tables) NeedsConfirmation() bool {
	return t.Config.RevokeBound > 0 && t.Catalog != nil && t.Catalog.RequiresKeys
}

// ConfirmationAges returns the ages of the catalog up to which this VM is ready, and up to which it accepts keys.
func (t *Tables) ConfirmationAges() (ready, accepted cs.Span) {
	return t.Config.RevokeBound / 2, maxConfirmedAge(t.Config.RevokeBound)
}

// RetryUnconfirmed is the retry delay given to callers whose key this VM cannot judge: another VM may serve them at once.
const RetryUnconfirmed = 50 * cs.Millisecond

// The refusals of requests whose key is unknown or cannot be judged.
var (
	unauthorizedRefusal = cs.Refuse(cs.ReasonUnauthorized, "the request has no known key")
	outOfDateRefusal    = cs.Refuse(cs.ReasonUnavailable, "the key is not known in a configuration that may be out of date")
	unconfirmedRefusal  = cs.Refuse(cs.ReasonUnavailable, "it is not known whether the key is still in force")
)

// Authorize decides whether a request may run, and for which workspace. It does not allocate.
func Authorize(r *AccessRequest) Access {
	if !r.Catalog.RequiresKeys {
		return AccessGranted{}
	}
	var workspace *cs.Workspace
	if !r.Key.IsZero() {
		workspace = r.Catalog.WorkspaceOf(r.Key)
	}
	isCurrent := !r.Unreadable && r.Age <= MaxCatalogAge && r.BootAge <= maxCatalogBootAge
	isConfirmed := r.RevokeBound == 0 || r.BootAge <= maxConfirmedAge(r.RevokeBound)
	// A job is looked for in the workspace of the key, and a key that cannot be judged may have one.
	isUndecided := r.ForJob && !r.Key.IsZero() && (workspace != nil || !isCurrent)
	switch {
	case workspace != nil && isConfirmed:
		return AccessGranted{workspace}
	case r.Public && !isUndecided:
		return AccessGranted{}
	case workspace != nil:
		return AccessDenied{unconfirmedRefusal}
	case !isCurrent:
		return AccessDenied{outOfDateRefusal}
	default:
		return AccessDenied{unauthorizedRefusal}
	}
}

// RunnerAccess tells for which workspace a request is sent to a runner.
type RunnerAccess struct {
	// RequiresKeys means that the headers of the caller that name a key or a workspace are removed.
	RequiresKeys bool
	// Workspace is the workspace of the request, or empty.
	Workspace cs.WorkspaceID
}

// RunnerAccess returns for which workspace a request is sent to a runner.
func (t *Tables) RunnerAccess(w cs.WorkspaceID) RunnerAccess {
	return RunnerAccess{RequiresKeys: w != "" || t.Catalog != nil && t.Catalog.RequiresKeys, Workspace: w}
}

// HasWorkspaceKey reports whether the newest catalog still contains the key with which a request was admitted for its workspace.
func (t *Tables) HasWorkspaceKey(f *Forward) bool {
	w := t.Catalog.WorkspaceOf(f.Key)
	return w != nil && w.ID == f.Workspace
}
