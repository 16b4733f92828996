package cli

import (
	"flag"
	"io"
	"text/tabwriter"
)

// writeUsage prints the list of all commands and the exit codes.
func writeUsage(w io.Writer) {
	writef(w, "%s", "crocusstile controls the serving system through one of its VMs.\n\n"+
		"Usage: crocusstile COMMAND [flags] [arguments]\n\nCommands:\n")
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, spec := range commands {
		writef(table, "  %s\t%s\n", spec.name, spec.summary)
	}
	_ = table.Flush()
	writef(w, "%s", "\nThe VM's address is taken from -addr or the environment variable CROCUSSTILE_ADDR.\n"+
		"crocusstile COMMAND -h shows the flags of a command.\n\n"+exitCodesHelp)
}

// writeHelp prints the usage, flags and an example of one command.
func writeHelp(w io.Writer, spec *commandSpec, fs *flag.FlagSet) {
	writef(w, "%s\n\nUsage: crocusstile %s [flags] %s\n\nFlags:\n", spec.summary, spec.name, spec.args)
	fs.SetOutput(w)
	fs.PrintDefaults()
	writef(w, "\nExample:\n  %s\n\n%s", spec.example, exitCodesHelp)
}
