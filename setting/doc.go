// Package setting reads the settings of the daemon: a JSON document that is validated against the
// embedded schema and completed with defaults.
package setting
