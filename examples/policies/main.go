// Command policies compares the batch policies with simple baselines in small closed-loop simulations and prints a
// Markdown table for each scenario.
package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

type (
	flags struct {
		Policy string   `arg:"" enum:"placer,estimator,governor,attributor,sequencer" help:"Policy to measure: ${enum}."`
		Seeds  []uint64 `default:"1,2,3,4,5" help:"Seeds of the runs."`
		Plot   string   `help:"File for the SVG plot of the governor's first seed." type:"path"`
	}

	// result holds the metrics of one run in the order of the columns of the scenario.
	result []float64

	// scenario is a simulation that is run with each of the policies.
	scenario struct {
		name     string
		columns  []string
		policies []policy
	}

	policy struct {
		name string
		run  func(seed uint64) result
	}
)

func main() {
	var o flags
	kong.Parse(&o, kong.Description("Compares the batch policies with simple baselines."))
	scenarios := map[string]func() []scenario{
		"placer": placerScenarios, "estimator": estimatorScenarios, "governor": governorScenarios,
		"attributor": attributorScenarios, "sequencer": sequencerScenarios,
	}
	for _, sc := range scenarios[o.Policy]() {
		fmt.Print(sc.table(o.Seeds))
	}
	if o.Plot != "" {
		if err := os.WriteFile(o.Plot, governorPlot(o.Seeds[0]), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "policies:", err)
			os.Exit(1)
		}
	}
}

// table runs every policy with every seed. It returns a Markdown table with the mean of each metric over the seeds and,
// in parentheses, its lowest and highest value.
func (s scenario) table(seeds []uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s; seeds %v\n\n| policy | %s |\n|%s\n", s.name, seeds, strings.Join(s.columns, " | "), strings.Repeat(" --- |", len(s.columns)+1))
	for _, p := range s.policies {
		fmt.Fprintf(&b, "| %s |", p.name)
		results := make([]result, len(seeds))
		for i, seed := range seeds {
			results[i] = p.run(seed)
		}
		for column := range s.columns {
			sum, low, high := 0.0, math.Inf(1), math.Inf(-1)
			for _, r := range results {
				sum, low, high = sum+r[column], min(low, r[column]), max(high, r[column])
			}
			fmt.Fprintf(&b, " %s (%s–%s) |", formatNumber(sum/float64(len(results))), formatNumber(low), formatNumber(high))
		}
		b.WriteString("\n")
	}
	return b.String() + "\n"
}

func formatNumber(v float64) string {
	switch {
	case v != 0 && math.Abs(v) < 10:
		return fmt.Sprintf("%.2f", v)
	case math.Abs(v) < 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}
