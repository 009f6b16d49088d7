package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bamboohook/configurator"
	"bamboohook/internal/launcher"
	"bamboohook/internal/message"
	"bamboohook/internal/peer"
)

// fetchCount is the number of fetches for each size of the configuration. The clock ticks of 10 ms are too coarse for
// measuring a single fetch.
const fetchCount = 300

// measureFetches measures the processor time that an entry process uses when an agent fetches its part of the
// configuration, by the number of sections.
func measureFetches(r *report, programDir string) error {
	return withInstallation(programDir, 0, 1, func(i *launcher.Installation) error {
		client := &peer.Client{Address: strings.Replace(i.EntryOperatorAddress(0), ":21002", ":21001", 1)}
		defer client.Close()
		vmCounts := []float64{300, 900, 1800, 2700}
		sectionCounts, fetchTimes := make([]float64, 4), make([]float64, 4)
		published := configurator.Sections{}
		for n, count := range vmCounts {
			all := inventorySections(int(count))
			added := configurator.Sections{}
			for name, keys := range all {
				if _, ok := published[name]; !ok {
					added[name] = keys
				}
			}
			if err := publish(i.EntryOperatorAddress(0), n, added); err != nil {
				return err
			}
			published, sectionCounts[n] = all, float64(len(all))
			ids, err := childProcesses(i.OutputDir, []string{"entry-1.ini"})
			if err != nil {
				return err
			}
			before, err := processorTicks(ids[0])
			if err != nil {
				return err
			}
			for range fetchCount {
				var state message.ConfigurationState
				request := message.ConfigurationRequest{VM: vmName(7)}
				if err := client.Call(context.Background(), message.MethodConfiguration, request, &state); err != nil {
					return err
				}
				if len(state.Sections) != 1 {
					return fmt.Errorf("configuration for one VM has %d sections, want 1", len(state.Sections))
				}
			}
			after, err := processorTicks(ids[0])
			if err != nil {
				return err
			}
			// A clock tick is 10 ms.
			fetchTimes[n] = (after - before) * 10 / fetchCount
		}
		r.addPoints("entry-fetch", "sections", "ms for a fetch of an agent", sectionCounts, fetchTimes)
		return nil
	})
}

// publish publishes the sections as a change that is based on the base revision.
func publish(operatorAddress string, baseRevision int, set configurator.Sections) error {
	requestBody, err := json.Marshal(message.PublicationRequest{
		ChangeID: fmt.Sprintf("change-%d", baseRevision), BaseRevision: uint64(baseRevision), Author: "capacity", Set: set,
	})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+operatorAddress+message.PathConfiguration, "application/json", bytes.NewReader(requestBody))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	responseText, err := io.ReadAll(response.Body)
	if err == nil && !strings.Contains(string(responseText), message.PublicationAccepted) {
		err = fmt.Errorf("change with base revision %d was not accepted: %s", baseRevision, responseText)
	}
	return err
}
