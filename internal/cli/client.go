package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"bamboohook/internal/message"
)

const (
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

type (
	// operatorFlags name the operators' port of an entry.
	operatorFlags struct {
		Operator string `help:"IP address and port of an entry's operator port." env:"BAMBOOHOOK_OPERATOR" default:"127.0.0.1:7102"`
		outputFlags
	}

	// callerFlags name the callers' port of an entry.
	callerFlags struct {
		Caller string `help:"IP address and port of an entry's caller port." env:"BAMBOOHOOK_CALLER" default:"127.0.0.1:7100"`
		outputFlags
	}

	outputFlags struct {
		Output string `help:"Form of the output: human or json." enum:"human,json" default:"human"`
	}
)

// call sends one request with an optional JSON body and decodes the answer into result. An error answer
// becomes an exitError with the code for its outcome. A call that certainly did not reach the process
// fails with ExitFailed; one that may have reached it with ExitUnknown if it changes something.
func call(ctx context.Context, method, address, path string, body, result any) error {
	limit, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "cli: cannot encode the request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(limit, method, "http://"+address+path, content)
	if err != nil {
		return exitError{ExitUsage, "cli: " + address + " is not an IP address and port"}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return unanswered(method, address, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content = io.LimitReader(answer.Body, maxAnswerBytes)
	if answer.StatusCode >= http.StatusBadRequest {
		return failure(answer.StatusCode, content)
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(content).Decode(result), "cli: the answer does not parse")
}

// unanswered chooses the exit code of a call without an answer.
func unanswered(method, address string, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return exitError{ExitFailed, "cannot connect to " + address + "; nothing was changed: " + err.Error()}
	}
	if method == http.MethodGet {
		return exitError{ExitFailed, "no answer from " + address + ": " + err.Error()}
	}
	return exitError{ExitUnknown, "no answer from " + address + "; the call may have taken effect: " + err.Error()}
}

func failure(status int, content io.Reader) error {
	var f message.ErrorResponse
	raw, _ := io.ReadAll(content)
	if err := json.Unmarshal(raw, &f); err != nil || f.Message == "" {
		return exitError{ExitFailed, fmt.Sprintf("the process answered %d: %s", status, bytes.TrimSpace(raw))}
	}
	text := fmt.Sprintf("%s (%s): %s", f.Outcome, f.Reason, f.Message)
	if f.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %s", time.Duration(f.RetryAfterMS)*time.Millisecond)
	}
	if f.Outcome == message.OutcomeUnknown {
		return exitError{ExitUnknown, text}
	}
	return exitError{ExitRefused, text}
}

// print writes value as JSON if asked for, else calls human with a table writer.
func (o outputFlags) print(s *session, value any, human func(*tabwriter.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	human(table)
	return table.Flush()
}

// row writes the columns of one line of a table.
func row(table *tabwriter.Writer, columns ...any) {
	for n, c := range columns {
		if n > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, c)
	}
	_, _ = fmt.Fprintln(table)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
