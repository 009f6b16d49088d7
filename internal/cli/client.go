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
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

type (
	// operatorFlags are the flags of commands that send requests to the operator port of an entry. Operator is its address.
	operatorFlags struct {
		Operator string `help:"IP address and port of an entry's operator port." env:"BAMBOOHOOK_OPERATOR" default:"127.0.0.1:7102"`
		outputFlags
	}

	// callerFlags are the flags of commands that send requests to the caller port of an entry. Caller is its address.
	callerFlags struct {
		Caller string `help:"IP address and port of an entry's caller port." env:"BAMBOOHOOK_CALLER" default:"127.0.0.1:7100"`
		outputFlags
	}

	// outputFlags is the flag that chooses how a command prints its result.
	outputFlags struct {
		Output string `help:"Form of the output: human or json." enum:"human,json" default:"human"`
	}
)

// call sends an HTTP request to an entry and decodes the JSON response into result, unless result is nil. requestBody is sent as
// JSON, unless it is nil. If there is no response, or the status of the response is 400 or higher, call returns an exitError whose exit
// code says whether the request may have taken effect.
func call(ctx context.Context, method, address, path string, requestBody, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reader io.Reader
	if requestBody != nil {
		encodedBody, err := json.Marshal(requestBody)
		if err != nil {
			return eris.Wrap(err, "cli: cannot encode the request")
		}
		reader = bytes.NewReader(encodedBody)
	}
	request, err := http.NewRequestWithContext(callCtx, method, "http://"+address+path, reader)
	if err != nil {
		return exitError{ExitUsage, "cli: " + address + " is not an IP address and port"}
	}
	if requestBody != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return transportError(method, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	reader = io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode >= http.StatusBadRequest {
		return responseError(response.StatusCode, reader)
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(reader).Decode(result), "cli: cannot decode the response")
}

// transportError returns the error for a request without a response. The exit code is ExitUnknown if the request may have changed
// something, and otherwise ExitFailed: a GET request changes nothing, and after a failed dial the entry has certainly not
// received the request.
func transportError(method, address string, err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return exitError{ExitFailed, "cannot connect to " + address + "; nothing was changed: " + err.Error()}
	}
	if method == http.MethodGet {
		return exitError{ExitFailed, "no response from " + address + ": " + err.Error()}
	}
	return exitError{ExitUnknown, "no response from " + address + "; the request may have taken effect: " + err.Error()}
}

// responseError returns the error for an error response. The exit code is ExitUnknown if the body says that the outcome is
// unknown, ExitRefused if it states another outcome, and ExitFailed if it is not a JSON object with a message.
func responseError(status int, body io.Reader) error {
	var response message.ErrorResponse
	content, _ := io.ReadAll(body)
	if err := json.Unmarshal(content, &response); err != nil || response.Message == "" {
		return exitError{ExitFailed, fmt.Sprintf("the entry responded with status %d: %s", status, bytes.TrimSpace(content))}
	}
	text := fmt.Sprintf("%s (%s): %s", response.Outcome, response.Reason, response.Message)
	if response.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %s", time.Duration(response.RetryAfterMS)*time.Millisecond)
	}
	if response.Outcome == message.OutcomeUnknown {
		return exitError{ExitUnknown, text}
	}
	return exitError{ExitRefused, text}
}

// print writes value to standard output as JSON if the flag --output=json is set. Otherwise it calls writeTable, which
// writes tab-separated columns, and aligns these columns.
func (o outputFlags) print(s *session, value any, writeTable func(*tabwriter.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.stdout, 0, 4, 2, ' ', 0)
	writeTable(table)
	return table.Flush()
}

// writeRow writes one line of a table to a writer that aligns tab-separated columns.
func writeRow(table *tabwriter.Writer, columns ...any) {
	for i, c := range columns {
		if i > 0 {
			_, _ = fmt.Fprint(table, "\t")
		}
		_, _ = fmt.Fprint(table, c)
	}
	_, _ = fmt.Fprintln(table)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
