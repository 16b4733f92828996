package cli

import (
	"context"
	"flag"

	"github.com/crocusstile/crocusstile/gen/operations"
)

// VMs lists the entry VMs that the VM knows, with their state.
type VMs struct{}

func (*VMs) isCommand()                {}
func (*VMs) defineFlags(*flag.FlagSet) {}
func (*VMs) operands([]string)         {}

func (s *session) vms(ctx context.Context) error {
	vms, err := invoke[[]*operations.VM](ctx, s, s.operations().Vms(), nil)
	if err != nil {
		return err
	}
	if s.json {
		return s.printBody()
	}
	return s.printTable("VM\tDATA CENTRE\tADDRESS\tSTATE\tLINK\tINCARNATION", func(row row) error {
		for _, v := range vms {
			row("%s\t%s\t%s\t%s\t%s\t%s", v.ID, v.DataCentre, v.Address, vmState(v), vmLink(v), v.Incarnation)
		}
		return nil
	})
}

func vmState(v *operations.VM) string {
	switch {
	case v.Leaving:
		return "leaving"
	case v.Live:
		return "live"
	}
	return "dead"
}

func vmLink(v *operations.VM) string {
	switch {
	case v.Self:
		return "self"
	case v.Linked:
		return "linked"
	}
	return "-"
}
