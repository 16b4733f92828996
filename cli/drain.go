package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/crocusstile/crocusstile/gen/operations"
)

// Drain tells the VM to leave.
type Drain struct{}

func (*Drain) isCommand()            {}
func (*Drain) declare(*flag.FlagSet) {}
func (*Drain) operands([]string)     {}

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
