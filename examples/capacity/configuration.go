package main

import (
	"encoding/json"
	"fmt"

	"bamboohook/configurator"
	"bamboohook/internal/inventory"
	"bamboohook/internal/message"
)

// inventorySections returns the configuration sections of an installation with the given number of VMs and with all
// teams, kinds, services and rules.
func inventorySections(vms int) configurator.Sections {
	s := configurator.Sections{}
	for n := range vms {
		s["vm."+vmName(n)] = vmSection(n, servicesPerEndpoint)
	}
	for n := range teamCount {
		s[fmt.Sprintf("team.team-%03d", n)] = map[string]string{"processors": "100", "memory": "400GiB"}
	}
	for n := range kindCount {
		s[fmt.Sprintf("kind.kind-%02d", n)] = map[string]string{"processors": "4", "memory": "8GiB", "run-time": "10m", "attempts": "3"}
		s["service."+serviceName(n)] = map[string]string{"urgency": "urgent", "share": "5%"}
		s[fmt.Sprintf("rule.rule-%02d", n)] = map[string]string{"kinds": fmt.Sprintf("kind-%02d", n), "importance": "80", "days": "fri-sat"}
	}
	return s
}

func vmSection(n, serviceCount int) map[string]string {
	serviceList := serviceName(0)
	for s := 1; s < serviceCount; s++ {
		serviceList += ", " + serviceName(s)
	}
	return map[string]string{
		"data-centre": "kingston-a", "rack": fmt.Sprintf("rack-%d", n/3), "processors": "64", "memory": "250GB",
		"accelerators": "1", "slots": "8", "connections": "64", "services": serviceList,
	}
}

func newChange(number int, set configurator.Sections) configurator.Change {
	return configurator.Change{ID: fmt.Sprintf("CHANGE%020d", number), BaseRevision: uint64(number), Author: "operator", Set: set}
}

// measureConfiguration measures the time, bytes and memory of configuration changes by the number of sections.
// inventoryTimes are the times of copying the state and building the inventory from it, which an entry does to apply a
// change. installTimes are the times of installing a state in a new configurator, which is a part of publishing.
func measureConfiguration(r *report) error {
	vmCounts := []float64{300, 900, 1800, 2700}
	sectionCounts := make([]float64, 4)
	var sizes, applyTimes, inventoryTimes, copyTimes, installTimes, memory [4]float64
	for i, n := range vmCounts {
		all := inventorySections(int(n))
		sectionCounts[i] = float64(len(all))
		var c *configurator.Configurator
		var viewErr error
		memory[i] = retainedHeap(func() any {
			c = configurator.New(configurator.Options{})
			c.Apply(1, newChange(0, all))
			view, err := inventory.New(c.State().Sections)
			viewErr = err
			return []any{c, view}
		}) / 1e6
		if viewErr != nil {
			return viewErr
		}
		encoded, err := json.Marshal(c.State())
		if err != nil {
			return err
		}
		sizes[i] = float64(len(encoded)) / 1e6
		number := 0
		applyTimes[i] = processorTimePerCall(10, func() {
			number++
			c.Apply(uint64(number+1), newChange(number, configurator.Sections{"vm." + vmName(7): vmSection(number, servicesPerEndpoint)}))
		}) / 1000
		copyTimes[i] = processorTimePerCall(10, func() { c.State() }) / 1000
		inventoryTimes[i] = processorTimePerCall(5, func() { _, _ = inventory.New(c.State().Sections) }) / 1000
		state := c.State()
		installTimes[i] = processorTimePerCall(5, func() { _ = configurator.New(configurator.Options{}).InstallState(state) }) / 1000
	}
	r.addPoints("configuration-bytes", "sections", "MB", sectionCounts, sizes[:])
	r.addPoints("configuration-apply", "sections", "ms for a change", sectionCounts, applyTimes[:])
	r.addPoints("configuration-refresh", "sections", "ms for a change", sectionCounts, inventoryTimes[:])
	r.addPoints("configuration-state", "sections", "ms for a copy", sectionCounts, copyTimes[:])
	r.addPoints("configuration-publish", "sections", "ms for a change, at one entry", sectionCounts, installTimes[:])
	r.addPoints("configuration-memory", "sections", "MB", sectionCounts, memory[:])
	r.measure("change-bytes", "VM sections in a change", "bytes", []float64{1, 2, 5, 10}, func(n int) float64 {
		set := configurator.Sections{}
		for i := range n {
			set["vm."+vmName(i)] = vmSection(i, servicesPerEndpoint)
		}
		record := configurator.NewRecord(newChange(6800, set))
		return float64(len(record.Body) + len(record.Kind))
	})
	r.measure("history-memory", "changes kept", "MB", []float64{1000, 2000, 4000, 8000}, func(n int) float64 {
		return retainedHeap(func() any {
			c := configurator.New(configurator.Options{})
			for i := range n {
				c.Apply(uint64(i+1), newChange(i, configurator.Sections{"vm." + vmName(i%10): vmSection(i, servicesPerEndpoint)}))
			}
			return c
		}) / 1e6
	})
	link, err := newPeerLink()
	if err != nil {
		return err
	}
	defer link.stop()
	r.measure("agent-configuration-bytes", "services in the VM's section", "bytes both ways", []float64{1, 2, 4, 8}, func(n int) float64 {
		requestBytes, responseBytes := link.exchange(message.ConfigurationRequest{SinceRevision: 6799, VM: vmName(7)}, message.ConfigurationState{
			Revision: 6800, Offset: 6900, Hash: "1234567890abcdef", Sections: configurator.Sections{"vm." + vmName(7): vmSection(7, n)},
		})
		return requestBytes + responseBytes
	})
	return nil
}
