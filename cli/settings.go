package cli

import (
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/crocusstile/crocusstile/setting"
)

// SettingsCheck checks a settings file of the daemon without starting the daemon.
type SettingsCheck struct{ file string }

func (*SettingsCheck) isCommand()                {}
func (*SettingsCheck) defineFlags(*flag.FlagSet) {}

func (c *SettingsCheck) operands(args []string) { c.file = args[0] }

func (s *session) settingsCheck(c *SettingsCheck) error {
	_, err := setting.Load(c.file)
	if s.json {
		if jsonErr := s.printCheckResult(err); jsonErr != nil {
			return jsonErr
		}
	}
	var fieldErrors setting.Errors
	switch {
	case errors.As(err, &fieldErrors):
		return usageErrorf(c.file, "\n%v", fieldErrors)
	case err != nil:
		return usageErrorf("", "%v", err)
	case s.json:
		return nil
	}
	_, err = fmt.Fprintf(s.Out, "%s is valid\n", c.file)
	return err
}

// printCheckResult prints as JSON whether the file is valid, with the errors by path of the field.
func (s *session) printCheckResult(err error) error {
	var fieldErrors setting.Errors
	errors.As(err, &fieldErrors)
	return s.printJSON(struct {
		Valid  bool           `json:"valid"`
		Errors setting.Errors `json:"errors,omitempty"`
	}{err == nil, fieldErrors})
}
