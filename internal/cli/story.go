package cli

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// maxLogLineBytes is the maximum length of a line in a log file. The command fails if a line is longer.
const maxLogLineBytes = 1 << 20

type (
	jobLogCommand struct {
		ID    string   `arg:"" help:"Identifier of a job or task; lines that contain it are shown."`
		Files []string `arg:"" help:"Files with the output of processes; - stands for standard input."`
	}

	// logLine is one log line in JSON. otherFields holds the JSON fields that have no field here, in the form key=value, separated
	// by spaces.
	logLine struct {
		Time        int64  `json:"time"`
		Process     string `json:"process"`
		Level       string `json:"level"`
		Message     string `json:"message"`
		otherFields string
	}
)

// Run reads all log files and prints the lines that contain the identifier, in the order of their timestamps.
func (c *jobLogCommand) Run(s *session) error {
	var lines []logLine
	for _, file := range c.Files {
		fileLines, err := readLogLines(file, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	if len(lines) == 0 {
		return exitError{ExitFailed, "no log line contains the identifier " + c.ID}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return cmp.Compare(x.Time, y.Time) })
	table := tabwriter.NewWriter(s.stdout, 0, 4, 2, ' ', 0)
	for _, l := range lines {
		writeRow(table, time.UnixMilli(l.Time).UTC().Format("15:04:05.000"), l.Process, l.Level, l.Message, l.otherFields)
	}
	return table.Flush()
}

func readLogLines(file, id string) ([]logLine, error) {
	input := io.Reader(os.Stdin)
	if file != "-" {
		logFile, err := os.Open(file)
		if err != nil {
			return nil, exitError{ExitUsage, err.Error()}
		}
		defer func() { _ = logFile.Close() }()
		input = logFile
	}
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Bytes(), id); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "cli: cannot read %s", file)
}

// parseLogLine parses a log line. It returns false if the line doesn't contain id or has no JSON object with a message. The JSON
// object may follow a prefix, such as a time and a process name.
func parseLogLine(line []byte, id string) (logLine, bool) {
	jsonStart := bytes.IndexByte(line, '{')
	if jsonStart < 0 || !bytes.Contains(line, []byte(id)) {
		return logLine{}, false
	}
	var l logLine
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(line[jsonStart:], &l) != nil || json.Unmarshal(line[jsonStart:], &fields) != nil || l.Message == "" {
		return logLine{}, false
	}
	var otherFields []string
	for _, key := range sortedKeys(fields) {
		switch key {
		case "time", "process", "level", "message":
			continue
		}
		otherFields = append(otherFields, fmt.Sprintf("%s=%s", key, strings.Trim(string(fields[key]), `"`)))
	}
	l.otherFields = strings.Join(otherFields, " ")
	return l, true
}
