package cli

import (
	"flag"
	"io"
	"text/tabwriter"
)

// writeUsage writes the list of commands.
func writeUsage(w io.Writer) {
	note(w, "%s", "crocusstile controls the serving system through one of its VMs.\n\n"+
		"Usage: crocusstile COMMAND [flags] [arguments]\n\nCommands:\n")
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, e := range commands {
		note(table, "  %s\t%s\n", e.name, e.summary)
	}
	_ = table.Flush()
	note(w, "%s", "\nThe VM's address is that of -addr or of the variable CROCUSSTILE_ADDR.\n"+
		"crocusstile COMMAND -h shows the flags of a command.\n\n"+exitCodes)
}

// writeHelp writes the usage of one command.
func writeHelp(w io.Writer, e *entry, fs *flag.FlagSet) {
	note(w, "%s\n\nUsage: crocusstile %s [flags] %s\n\nFlags:\n", e.summary, e.name, e.args)
	fs.SetOutput(w)
	fs.PrintDefaults()
	note(w, "\nExample:\n  %s\n\n%s", e.example, exitCodes)
}
