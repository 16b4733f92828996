package cli

import (
	"flag"
	"fmt"
	"runtime/debug"
)

// Version prints the version of this program.
type Version struct{}

func (*Version) isCommand()                {}
func (*Version) defineFlags(*flag.FlagSet) {}
func (*Version) operands([]string)         {}

// buildInfo holds the version, the commit and the Go version of the build.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (s *session) version() error {
	b := readBuildInfo()
	if s.json {
		return s.printJSON(b)
	}
	_, err := fmt.Fprintf(s.Out, "crocusstile %s %s %s\n", b.Version, b.Revision, b.Go)
	return err
}

func readBuildInfo() buildInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return buildInfo{Version: "unknown"}
	}
	b := buildInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = s.Value
		}
	}
	return b
}
