package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// version is the release number. The version command also prints the source revision, if the build recorded it.
const version = "0.1.0"

type versionCommand struct{}

// Run prints the release number, the source revision and the Go version.
func (*versionCommand) Run(s *session) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(s.stdout, "bamboohook %s, source %s, %s\n", version, revision, runtime.Version())
	return err
}
