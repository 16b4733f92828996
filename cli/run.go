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

// Terminal is what a command reads and writes.
type Terminal struct {
	In  io.Reader
	Out io.Writer // answers
	Err io.Writer // errors, progress and notes
	// Getenv returns an environment variable, or "".
	Getenv func(string) string
}

// Run parses the arguments, without the program's name, performs the command and returns the exit
// code.
func Run(ctx context.Context, args []string, t Terminal) Exit {
	e, rest := find(args)
	if e == nil {
		return unknownCommand(args, t)
	}
	c := e.create()
	fs := flag.NewFlagSet(e.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	r := declareReach(fs, t.Getenv)
	c.declare(fs)
	if err := parse(fs, e, c, rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			writeHelp(t.Out, e, fs)
			return ExitDone
		}
		return report(t, false, misuse("", "%v; see crocusstile %s -h", err, e.name))
	}
	s, err := newSession(t, r)
	if err == nil {
		err = s.perform(ctx, c)
	}
	return report(t, r.json, err)
}

// find returns the command whose words begin the arguments, and the arguments after them.
func find(args []string) (*entry, []string) {
	for i := range commands {
		words := strings.Fields(commands[i].name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return &commands[i], args[len(words):]
		}
	}
	return nil, nil
}

func unknownCommand(args []string, t Terminal) Exit {
	if len(args) > 0 && slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0]) {
		writeUsage(t.Out)
		return ExitDone
	}
	writeUsage(t.Err)
	return ExitMisuse
}

// parse reads the flags, which may stand before and after operands; all after "--" are operands.
func parse(fs *flag.FlagSet, e *entry, c Command, args []string) error {
	var operands []string
	for {
		if err := fs.Parse(args); err != nil {
			return err
		}
		read := len(args) - fs.NArg()
		if fs.NArg() == 0 || read > 0 && args[read-1] == "--" {
			operands = append(operands, fs.Args()...)
			break
		}
		operands = append(operands, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(operands) < e.min || len(operands) > e.max {
		return errors.Newf("%d arguments, should be: %s %s", len(operands), e.name, e.args)
	}
	c.operands(operands)
	return nil
}

// report writes an error, as JSON if asked to, and returns the exit code.
func report(t Terminal, asJSON bool, err error) Exit {
	code := exitOf(err)
	if err == nil {
		return code
	}
	if !asJSON {
		note(t.Err, "crocusstile: %v\n", err)
		return code
	}
	body := struct {
		Error string `json:"error"`
		Exit  Exit   `json:"exit"`
	}{err.Error(), code}
	if err := json.NewEncoder(t.Err).Encode(body); err != nil {
		return ExitFailed
	}
	return code
}
