package cli

import (
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/setting"
)

// SettingsCheck checks a settings file.
type SettingsCheck struct{ file string }

func (*SettingsCheck) isCommand()            {}
func (*SettingsCheck) declare(*flag.FlagSet) {}

func (c *SettingsCheck) operands(args []string) { c.file = args[0] }

func (s *session) settingsCheck(c *SettingsCheck) error {
	_, err := setting.Load(c.file)
	if s.json {
		if jsonErr := s.printCheck(err); jsonErr != nil {
			return jsonErr
		}
	}
	var wrong setting.Errors
	switch {
	case errors.As(err, &wrong):
		return misuse(c.file, "\n%v", wrong)
	case err != nil:
		return misuse("", "%v", err)
	case s.json:
		return nil
	}
	_, err = fmt.Fprintf(s.Out, "%s is valid\n", c.file)
	return err
}

// printCheck prints the verdict with the errors by path.
func (s *session) printCheck(err error) error {
	var wrong setting.Errors
	errors.As(err, &wrong)
	return s.printJSON(struct {
		Valid  bool           `json:"valid"`
		Errors setting.Errors `json:"errors,omitempty"`
	}{err == nil, wrong})
}
