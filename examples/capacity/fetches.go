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

const fetches = 300

// measureFetches measures the processor time of a real entry for one fetch of an agent's part of the configuration.
func measureFetches(r *report, folder string) error {
	return installation(folder, 0, 1, func(i *launcher.Installation) error {
		client := &peer.Client{Address: strings.Replace(i.EntryOperatorAddress(0), ":21002", ":21001", 1)}
		defer client.Close()
		vms := []float64{300, 900, 1800, 2700}
		sections, times := make([]float64, 4), make([]float64, 4)
		known := configurator.Sections{}
		for n, count := range vms {
			all := inventorySections(int(count))
			added := configurator.Sections{}
			for name, keys := range all {
				if _, ok := known[name]; !ok {
					added[name] = keys
				}
			}
			if err := publish(i.EntryOperatorAddress(0), n, added); err != nil {
				return err
			}
			known, sections[n] = all, float64(len(all))
			ids, err := children(i.OutputDir, []string{"entry-1.ini"})
			if err != nil {
				return err
			}
			before, err := ticksOf(ids[0])
			if err != nil {
				return err
			}
			for range fetches {
				var state message.ConfigurationState
				request := message.ConfigurationRequest{VM: vmName(7)}
				if err := client.Call(context.Background(), message.MethodConfiguration, request, &state); err != nil {
					return err
				}
				if len(state.Sections) != 1 {
					return fmt.Errorf("answer to an agent has %d sections", len(state.Sections))
				}
			}
			after, err := ticksOf(ids[0])
			if err != nil {
				return err
			}
			// A tick is 10 ms.
			times[n] = (after - before) * 10 / fetches
		}
		r.add("entry-fetch", "sections", "ms for a fetch of an agent", sections, times)
		return nil
	})
}

func publish(operator string, based int, set configurator.Sections) error {
	body, err := json.Marshal(message.PublicationRequest{
		ChangeID: fmt.Sprintf("change-%d", based), BaseRevision: uint64(based), Author: "capacity", Set: set,
	})
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+operator+message.PathConfiguration, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err == nil && !strings.Contains(string(text), message.VerdictAccepted) {
		err = fmt.Errorf("change %d was not accepted: %s", based, text)
	}
	return err
}
