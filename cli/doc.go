// Package cli implements the commands of the command-line tool crocusstile.
//
// Each command is a type of the sealed interface Command. Run parses the arguments into a Command,
// executes it against one VM and maps the outcome to an exit code. The outcome is nil or a type of the
// sealed interface Failure.
package cli
