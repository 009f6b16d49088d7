package cli

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"bamboohook/internal/message"
)

type fleetCommand struct{ operatorFlags }

// Run prints a table of all VMs that the inventory declares or that have sent a heartbeat to the entry.
func (c *fleetCommand) Run(s *session) error {
	var fleet []message.FleetVM
	if err := call(s.ctx, http.MethodGet, c.Operator, message.PathFleet, nil, &fleet); err != nil {
		return err
	}
	return c.print(s, fleet, func(t *tabwriter.Writer) {
		writeRow(t, "VM", "DATA CENTRE", "RACK", "STATUS", "REVISION", "COMMITTED", "CAPACITY", "SERVICES")
		for _, v := range fleet {
			writeRow(t, v.VM, v.DataCentre, v.Rack, v.Status, v.Revision, v.Committed, v.Capacity, formatServices(v.Services))
		}
	})
}

func formatServices(services []message.Service) string {
	var parts []string
	for _, service := range services {
		parts = append(parts, fmt.Sprintf("%s %d/%d", service.Name, service.InFlight, service.Slots))
	}
	return strings.Join(parts, ", ")
}
