package cli

import (
	"fmt"

	"bamboohook/internal/settings"
)

type (
	settingsCommand struct {
		Check settingsCheckCommand `cmd:"" help:"Check a settings file and list every mistake."`
	}

	settingsCheckCommand struct {
		File string `arg:"" help:"Settings file." type:"existingfile"`
	}
)

// Run prints the role that the settings file is for, or returns an error with all problems of the file.
func (c *settingsCheckCommand) Run(s *session) error {
	role, _, err := settings.Load(c.File)
	if err != nil {
		return exitError{ExitUsage, err.Error()}
	}
	_, err = fmt.Fprintf(s.stdout, "%s: correct settings of an %s\n", c.File, role)
	return err
}
