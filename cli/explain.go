package cli

import (
	"flag"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/logtrace"
)

// maxExplainOperands limits the operands of explain, which are an id and log files.
const maxExplainOperands = 1000

// Explain traces a request, job or item through the log lines of entry VMs.
type Explain struct {
	id    string
	files []string
}

func (*Explain) isCommand()                {}
func (*Explain) defineFlags(*flag.FlagSet) {}

func (c *Explain) operands(args []string) { c.id, c.files = args[0], args[1:] }

func (s *session) explain(c *Explain) error {
	var lines []logtrace.Line
	if len(c.files) == 0 {
		read, _, err := logtrace.Read(s.In)
		if err != nil {
			return errors.Wrap(err, "standard input")
		}
		lines = read
	}
	for _, name := range c.files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	p := logtrace.Find(lines, c.id)
	if len(p.Lines) == 0 {
		return errors.Newf("no log line mentions %s", c.id)
	}
	if s.json {
		return s.printJSON(p)
	}
	return p.Write(s.Out)
}

// readLog reads the lines of one log file.
func readLog(name string) ([]logtrace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	lines, _, err := logtrace.Read(f)
	return lines, errors.Wrap(err, name)
}
