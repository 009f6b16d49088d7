package main

import (
	"fmt"
	"strings"
)

const (
	plotWidth  = 900.0
	plotHeight = 220.0
	plotLeft   = 60.0
)

// governorPlot returns an SVG image with the p99 of the urgent work's latency per minute and the number of evictions in
// the governor scenario.
func governorPlot(seed uint64) []byte {
	colours := map[string]string{"never act": "#888888", "evict at once on any violation": "#c0392b", "governor": "#1f5fa8"}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" font-family="sans-serif" font-size="12">`+"\n", plotWidth+plotLeft+20, 2*plotHeight+150)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	minutes := runTicks / 60
	legendX := 0.0
	latencyChart := chart{top: 50, maxValue: 4, title: fmt.Sprintf("Bureau, seed %d: urgent p99 of each minute / target", seed), minutes: minutes}
	evictionChart := chart{top: 100 + plotHeight, title: "evictions since the start", minutes: minutes}
	results := map[string]governorRun{}
	var names []string
	for _, p := range governorPolicies() {
		if colours[p.name] != "" {
			r := runGovernor(workloads[0], seed, p.controlPolicy)
			results[p.name], names = r, append(names, p.name)
			for _, v := range r.minuteP99s {
				latencyChart.maxValue = max(latencyChart.maxValue, v)
			}
			evictionChart.maxValue = max(evictionChart.maxValue, float64(len(r.evictionTimes)))
		}
	}
	latencyChart.drawFrame(&b)
	evictionChart.drawFrame(&b)
	fmt.Fprintf(&b, `<line x1="%.0f" x2="%.0f" y1="%.1f" y2="%.1f" stroke="black" stroke-dasharray="4"/>`+"\n", plotLeft, plotLeft+plotWidth, latencyChart.y(1), latencyChart.y(1))
	for _, name := range names {
		r := results[name]
		latencyChart.drawLine(&b, r.minuteP99s, colours[name])
		evictionCounts := make([]float64, minutes)
		for _, at := range r.evictionTimes {
			for m := int(at); m < minutes; m++ {
				evictionCounts[m]++
			}
		}
		evictionChart.drawLine(&b, evictionCounts, colours[name])
		fmt.Fprintf(&b, `<text x="%.0f" y="20" fill="%s">%s</text>`+"\n", plotLeft+legendX, colours[name], name)
		legendX += 230
	}
	b.WriteString("</svg>\n")
	return []byte(b.String())
}

// chart is a line chart over the minutes of a run. The field top is the vertical position of its upper edge in the image.
type chart struct {
	top, maxValue float64
	title         string
	minutes       int
}

// y returns the vertical position of the value in the image.
func (a chart) y(v float64) float64 { return a.top + plotHeight*(1-v/a.maxValue) }

func (a chart) drawFrame(b *strings.Builder) {
	fmt.Fprintf(b, `<text x="%.0f" y="%.0f">%s</text>`+"\n", plotLeft, a.top-6, a.title)
	fmt.Fprintf(b, `<rect x="%.0f" y="%.0f" width="%.0f" height="%.0f" fill="none" stroke="#cccccc"/>`+"\n", plotLeft, a.top, plotWidth, plotHeight)
	for i := range 5 {
		v := a.maxValue * float64(i) / 4
		fmt.Fprintf(b, `<text x="%.0f" y="%.1f" text-anchor="end">%.1f</text>`+"\n", plotLeft-6, a.y(v)+4, v)
	}
	for m := 0; m <= a.minutes; m += 15 {
		x := plotLeft + plotWidth*float64(m)/float64(a.minutes)
		fmt.Fprintf(b, `<text x="%.0f" y="%.0f" text-anchor="middle">%d min</text>`+"\n", x, a.top+plotHeight+16, m)
	}
}

func (a chart) drawLine(b *strings.Builder, values []float64, colour string) {
	points := make([]string, len(values))
	for i, v := range values {
		points[i] = fmt.Sprintf("%.1f,%.1f", plotLeft+plotWidth*float64(i)/float64(len(values)), a.y(v))
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", colour, strings.Join(points, " "))
}
