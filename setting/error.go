package setting

import (
	"strings"
)

// Error is one problem in the settings.
type Error struct {
	// Path is the path of the field, such as "control.lease"; it is empty for the whole document.
	Path string `json:"path"`
	// Message states the problem and what is valid instead.
	Message string `json:"message"`
}

// Error returns the path, if there is one, and the message.
func (e Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors holds all problems found in the settings; as an error it is never empty.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
