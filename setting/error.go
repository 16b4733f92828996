package setting

import (
	"strings"
)

// Error is one thing that is wrong in the settings.
type Error struct {
	// Path leads to the field, such as "control.lease"; it is empty for the whole document.
	Path string `json:"path"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// Error returns the path and the message.
func (e Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Errors is everything that is wrong in the settings; it is never empty.
type Errors []Error

// Error returns the errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
