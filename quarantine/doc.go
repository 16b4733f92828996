// Package quarantine identifies requests that crash runners and stops them from being dispatched.
//
// When a runner crashes, the content of every online request in flight there becomes a suspect. A suspect is dispatched
// only to one runner, which all VMs of the data centre derive independently and which no other
// suspect uses. A content that was in flight at two crashes that no other content shares is the
// proven cause: it is quarantined, and refused until the quarantine ends.
package quarantine
