// Package roster has the systems that keep what a VM knows of the catalog, the runners and their crashes,
// its peers and the store, and the drain of the VM itself.
package roster
