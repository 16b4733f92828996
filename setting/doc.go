// Package setting reads the daemon's settings: JSON that is checked against the embedded schema
// and completed with defaults.
package setting
