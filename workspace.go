package crocusstile

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// WorkspaceID identifies a workspace: a customer whose requests, limits and jobs are kept apart.
type WorkspaceID string

// KeyDigest is the SHA-256 digest of a key of a workspace. Keys are kept nowhere, and no textual form shows a digest.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. It does not allocate for keys of usual length.
func DigestKey(key string) KeyDigest {
	var buffer [128]byte
	if len(key) > len(buffer) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// IsZero reports whether the digest is missing: no key has this digest.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// String returns a fixed text, so that digests do not appear in logs or errors.
func (KeyDigest) String() string { return "key" }

// MarshalText fails, so that digests do not appear in JSON.
func (KeyDigest) MarshalText() ([]byte, error) {
	return nil, errors.New("a key digest has no textual form")
}

// Workspace is a customer in the operator's configuration.
type Workspace struct {
	ID WorkspaceID
	// Priority ranks the requests of the workspace in place of the priority of their route, if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst limit the requests of the workspace over all VMs; a rate of 0 means no limit.
	Rate  PerSecond
	Burst float64
	// Keys are the digests of the keys in force.
	Keys []KeyDigest
}

// IsLimited reports whether the requests of the workspace are limited.
func (w *Workspace) IsLimited() bool { return w.Rate > 0 }
