// Package quarantine finds requests that crash runners and keeps them off the fleet.
//
// When a runner crashes, every content in flight there becomes suspect. A suspect runs again only on
// one runner that all VMs of the data centre derive alike and that no other suspect uses. A content
// with two crashes that no other content shares is convicted and refused for a time.
package quarantine
