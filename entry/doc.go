// Package entry assembles an entry VM from its components, runs them, and shuts them all down when one of
// them fails or the VM has been drained.
package entry
