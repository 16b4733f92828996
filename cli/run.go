package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Terminal holds the standard streams and the environment of a command.
type Terminal struct {
	In  io.Reader
	Out io.Writer // results
	Err io.Writer // errors, progress and remarks
	// Getenv returns the value of an environment variable, or "" if it is not set.
	Getenv func(string) string
}

// Run parses the arguments, which do not include the program's name, executes the command and returns
// the exit code.
func Run(ctx context.Context, args []string, t Terminal) ExitCode {
	spec, rest := findCommand(args)
	if spec == nil {
		return unknownCommand(args, t)
	}
	c := spec.create()
	fs := flag.NewFlagSet(spec.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	common := defineCommonFlags(fs, t.Getenv)
	c.defineFlags(fs)
	if err := parseArgs(fs, spec, c, rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			writeHelp(t.Out, spec, fs)
			return ExitOK
		}
		return reportError(t, false, usageErrorf("", "%v; see crocusstile %s -h", err, spec.name))
	}
	s, err := newSession(t, common)
	if err == nil {
		err = s.execute(ctx, c)
	}
	return reportError(t, common.json, err)
}

// findCommand returns the command whose name the arguments begin with, and the remaining arguments.
func findCommand(args []string) (*commandSpec, []string) {
	for i := range commands {
		words := strings.Fields(commands[i].name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return &commands[i], args[len(words):]
		}
	}
	return nil, nil
}

// unknownCommand prints the usage, as help if it was asked for and otherwise as an error.
func unknownCommand(args []string, t Terminal) ExitCode {
	if len(args) > 0 && slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]) {
		writeUsage(t.Out)
		return ExitOK
	}
	writeUsage(t.Err)
	return ExitUsage
}

// parseArgs parses flags and operands in any order; everything after "--" is an operand.
func parseArgs(fs *flag.FlagSet, spec *commandSpec, c Command, args []string) error {
	var operands []string
	for {
		if err := fs.Parse(args); err != nil {
			return err
		}
		consumed := len(args) - fs.NArg()
		if fs.NArg() == 0 || consumed > 0 && args[consumed-1] == "--" {
			operands = append(operands, fs.Args()...)
			break
		}
		operands = append(operands, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(operands) < spec.minOperands || len(operands) > spec.maxOperands {
		return errors.Newf("got %d arguments; should be: %s %s", len(operands), spec.name, spec.args)
	}
	c.operands(operands)
	return nil
}

// reportError prints an error, as JSON if asJSON is set, and returns the exit code.
func reportError(t Terminal, asJSON bool, err error) ExitCode {
	code := exitCodeOf(err)
	if err == nil {
		return code
	}
	if !asJSON {
		writef(t.Err, "crocusstile: %v\n", err)
		return code
	}
	body := struct {
		Error    string   `json:"error"`
		ExitCode ExitCode `json:"exit"`
	}{err.Error(), code}
	if err := json.NewEncoder(t.Err).Encode(body); err != nil {
		return ExitFailed
	}
	return code
}
