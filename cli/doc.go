// Package cli holds the commands of the command-line tool crocusstile.
//
// Each command is a type of the sealed interface Command. Run parses the arguments into one,
// performs it against one VM and maps its outcome, a sealed Failure or nil, to an exit code.
package cli
