package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/crocusstile/crocusstile/gen/operations"
)

// Drain tells a VM to finish its requests and leave the system.
type Drain struct{}

func (*Drain) isCommand()                {}
func (*Drain) defineFlags(*flag.FlagSet) {}
func (*Drain) operands([]string)         {}

func (s *session) drain(ctx context.Context) error {
	result, err := invoke[*operations.DrainResult](ctx, s, s.operations().Drain(), nil)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	_, err = fmt.Fprintf(s.Out, "%s is draining (%s)\n", s.addr, result.Phase)
	return err
}
