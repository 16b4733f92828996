// Package roster has the systems that maintain what a VM knows about the catalog, the runners and
// their crashes, its peers and the availability of the store. It also has the systems that report
// this VM's load to its peers and drain the VM before it exits.
package roster
