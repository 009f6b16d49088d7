package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
	"bamboohook/merger"
)

// timelineCommand has its own flag --output instead of the embedded flags of other commands, because a timeline is written as
// text, HTML or JSON.
type timelineCommand struct {
	Operator string `help:"IP address and port of an entry's operator port." env:"BAMBOOHOOK_OPERATOR" default:"127.0.0.1:7102"`
	Output   string `help:"Form of the output: text, html or json." enum:"text,html,json" default:"text"`
	File     string `help:"File to write; standard output if empty."`
}

// Run fetches the events of all processes that the entry knows, and writes them in causal order to the file or to standard output.
func (c *timelineCommand) Run(s *session) error {
	var events []merger.Event
	if err := call(s.ctx, http.MethodGet, c.Operator, message.PathAllEvents, nil, &events); err != nil {
		return err
	}
	if c.File == "" {
		return c.write(s.stdout, events)
	}
	file, err := os.Create(c.File)
	if err != nil {
		return eris.Wrap(err, "cli: cannot write the timeline")
	}
	if err := c.write(file, events); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "cli: cannot write the timeline")
}

func (c *timelineCommand) write(w io.Writer, events []merger.Event) error {
	eventMerger := merger.New(merger.Options{})
	eventMerger.Add(events...)
	switch c.Output {
	case "html":
		return eventMerger.WriteHTML(w)
	case "json":
		return json.NewEncoder(w).Encode(eventMerger.Events())
	default:
		return eventMerger.WriteText(w)
	}
}
