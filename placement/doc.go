// Package placement sends load and unload orders to runners, so that enough of them hold the model
// versions of the deployments in force.
package placement
