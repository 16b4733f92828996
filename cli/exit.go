package cli

import (
	"github.com/cockroachdb/errors"

	cs "github.com/crocusstile/crocusstile"
)

// ExitCode is the exit code of the process. Scripts decide by it whether to send a request again.
type ExitCode int

// The exit codes, which docs/operators.md documents for scripts.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the request ran and failed.
	ExitFailed ExitCode = 1
	// ExitUsage means that the arguments or the input are invalid.
	ExitUsage ExitCode = 2
	// ExitNotRun means that the request did not run, so that it may be sent again.
	ExitNotRun ExitCode = 3
	// ExitUnknown means that the request may or may not have run.
	ExitUnknown ExitCode = 4
)

// exitCodesHelp is the section on exit codes in the usage and in the help of each command.
const exitCodesHelp = `Exit codes:
  0  done
  1  failed: the request ran and failed
  2  wrong usage or invalid input
  3  not run: the request may be sent again
  4  unknown: the request may have run; without a key, do not resend one that must not run twice
`

// exitCodeOf maps the outcome of a command to the exit code.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var f Failure
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f := f.(type) {
	case UsageError:
		return ExitUsage
	case ErrorResponse:
		return errorResponseExitCode(f)
	case ConnectError:
		return ExitNotRun
	case NoResponse:
		return ExitUnknown
	case InvalidStream:
		return ExitFailed
	case JobIncomplete:
		if f.Unknown > 0 {
			return ExitUnknown
		}
	}
	return ExitFailed
}

// errorResponseExitCode maps an error response of the VM to the exit code.
func errorResponseExitCode(e ErrorResponse) ExitCode {
	if e.Name == refusalInvalid {
		return ExitUsage
	}
	switch e.Ran {
	case cs.RanNotRun:
		return ExitNotRun
	case cs.RanFailed:
		return ExitFailed
	}
	return ExitUnknown
}
