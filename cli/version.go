package cli

import (
	"flag"
	"fmt"
	"runtime/debug"
)

// Version prints the version of this program.
type Version struct{}

func (*Version) isCommand()            {}
func (*Version) declare(*flag.FlagSet) {}
func (*Version) operands([]string)     {}

// build says what the program was built from.
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (s *session) version() error {
	b := readBuild()
	if s.json {
		return s.printJSON(b)
	}
	_, err := fmt.Fprintf(s.Out, "crocusstile %s %s %s\n", b.Version, b.Revision, b.Go)
	return err
}

func readBuild() build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build{Version: "unknown"}
	}
	b := build{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}
