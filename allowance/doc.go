// Package allowance has the systems that limit the requests of workspaces over all VMs. The owner of a limit, one VM for each
// workspace, grants permits from a token bucket; a VM sends a request for the first time only with a permit that has not ended.
package allowance
