package cli

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
)

type (
	inventoryCommand struct {
		Check inventoryCheckCommand `cmd:"" help:"Check an inventory file and list every mistake."`
	}

	inventoryCheckCommand struct {
		File string `arg:"" help:"Inventory and rules in INI." type:"existingfile"`
	}

	publishCommand struct {
		operatorFlags
		File   string `arg:"" help:"Inventory and rules in INI." type:"existingfile"`
		Based  int64  `help:"Revision that the file is based on; without it, the one in effect now." default:"-1"`
		Author string `help:"Name for the history; the user's name by default."`
		Change string `help:"Identifier of the change; repeat it to ask about an unknown outcome."`
	}

	showCommand struct{ operatorFlags }

	diffCommand struct {
		operatorFlags
		File string `arg:"" help:"Inventory and rules in INI." type:"existingfile"`
	}

	historyCommand struct{ operatorFlags }
)

// Run prints that the inventory file is valid, or returns an error with all problems of the file.
func (c *inventoryCheckCommand) Run(s *session) error {
	sections, err := readInventory(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.stdout, "%s: correct inventory of %d sections\n", c.File, len(sections))
	return err
}

// Run publishes the sections in which the file differs from the configuration in effect.
func (c *publishCommand) Run(s *session) error {
	sections, err := readInventory(c.File)
	if err != nil {
		return err
	}
	state, err := fetchConfiguration(s, c.Operator)
	if err != nil {
		return err
	}
	changed, removed := inventory.Changes(state.Sections, sections)
	request := message.PublicationRequest{ChangeID: c.Change, BaseRevision: state.Revision, Author: c.Author, Set: changed, Removed: removed}
	if c.Based >= 0 {
		request.BaseRevision = uint64(c.Based)
	}
	if len(request.Set)+len(request.Removed) == 0 && request.ChangeID == "" {
		return c.print(s, message.PublicationResponse{PublicationOutcome: message.PublicationAccepted, BaseRevision: state.Revision, CurrentRevision: state.Revision},
			func(t *tabwriter.Writer) { writeRow(t, "nothing to change at revision", state.Revision) })
	}
	if request.ChangeID == "" {
		request.ChangeID = rand.Text()
	}
	if request.Author == "" {
		request.Author = userName()
	}
	return c.send(s, request)
}

// send publishes the change and prints the outcome. It returns an error unless the change was accepted.
func (c *publishCommand) send(s *session, request message.PublicationRequest) error {
	var response message.PublicationResponse
	if err := call(s.ctx, http.MethodPost, c.Operator, message.PathConfiguration, request, &response); err != nil {
		return err
	}
	if err := c.print(s, response, func(t *tabwriter.Writer) {
		switch response.PublicationOutcome {
		case message.PublicationAccepted:
			writeRow(t, "accepted: revision", response.CurrentRevision)
		case message.PublicationRefused:
			writeRow(t, fmt.Sprintf("refused: based on revision %d, now %d", response.BaseRevision, response.CurrentRevision))
		default:
			writeRow(t, "unknown: publish again with --change="+response.ChangeID)
		}
	}); err != nil {
		return err
	}
	switch response.PublicationOutcome {
	case message.PublicationAccepted:
		return nil
	case message.PublicationRefused:
		return exitError{ExitRefused, "another change came first; compare with 'bamboohook diff' and publish again"}
	default:
		return exitError{ExitUnknown, "the outcome is unknown: " + response.Message}
	}
}

// Run prints the configuration in effect, in the format of an inventory file.
func (c *showCommand) Run(s *session) error {
	state, err := fetchConfiguration(s, c.Operator)
	if err != nil {
		return err
	}
	return c.print(s, state, func(t *tabwriter.Writer) {
		writeRow(t, fmt.Sprintf("# revision %d", state.Revision))
		writeRow(t, inventory.Format(state.Sections))
	})
}

// Run prints the differences between the configuration in effect and the file.
func (c *diffCommand) Run(s *session) error {
	sections, err := readInventory(c.File)
	if err != nil {
		return err
	}
	state, err := fetchConfiguration(s, c.Operator)
	if err != nil {
		return err
	}
	differences := inventory.Diff(state.Sections, sections)
	return c.print(s, differences, func(t *tabwriter.Writer) {
		for _, d := range differences {
			writeRow(t, d)
		}
	})
}

// Run prints a table of the accepted changes to the configuration, the newest one last.
func (c *historyCommand) Run(s *session) error {
	var history []message.AcceptedChange
	if err := call(s.ctx, http.MethodGet, c.Operator, message.PathHistory, nil, &history); err != nil {
		return err
	}
	return c.print(s, history, func(t *tabwriter.Writer) {
		writeRow(t, "REVISION", "CHANGE", "AUTHOR", "SET", "REMOVED")
		for _, h := range history {
			writeRow(t, h.Revision, h.ChangeID, h.Author, strings.Join(h.Set, ", "), strings.Join(h.Removed, ", "))
		}
	})
}

func fetchConfiguration(s *session, address string) (message.ConfigurationState, error) {
	var state message.ConfigurationState
	err := call(s.ctx, http.MethodGet, address, message.PathConfiguration, nil, &state)
	return state, err
}

// readInventory reads an inventory file and returns its sections. If the file is invalid, the error lists all problems.
func readInventory(file string) (inventory.Sections, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "cli: cannot read the inventory")
	}
	_, sections, err := inventory.Parse(inventory.Source{Name: file, Data: content})
	if err != nil {
		return nil, exitError{ExitUsage, err.Error()}
	}
	return sections, nil
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
