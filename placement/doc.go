// Package placement orders runners to load and unload models, so that the deployments in force are
// served by enough runners.
package placement
