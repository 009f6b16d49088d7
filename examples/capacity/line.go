package main

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
)

type (
	// linearFit is a line fitted to points by least squares. The residual is the root mean square of the vertical
	// distances between the points and the line.
	linearFit struct{ intercept, slope, residual float64 }

	// report prints each fit when it has been measured and keeps it for the projection.
	report struct {
		section string
		fits    map[string]linearFit
	}
)

// fit returns the least-squares line of the points. It requires at least two different values in xs.
func fit(xs, ys []float64) linearFit {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+ys[i], sumXX+x*x, sumXY+x*ys[i]
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	l := linearFit{intercept: (sumY - slope*sumX) / n, slope: slope}
	for i, x := range xs {
		l.residual += (ys[i] - l.predict(x)) * (ys[i] - l.predict(x))
	}
	l.residual = math.Sqrt(l.residual / n)
	return l
}

// predict returns the value of the line at x.
func (l linearFit) predict(x float64) float64 { return l.intercept + l.slope*x }

// measure calls f for each size and adds a fit of the results to the report. The driver says what the sizes count, and
// the unit is that of the results.
func (r *report) measure(name, driver, unit string, sizes []float64, f func(size int) float64) {
	ys := make([]float64, len(sizes))
	for i, x := range sizes {
		ys[i] = f(int(x))
	}
	r.addPoints(name, driver, unit, sizes, ys)
}

// addPoints fits a line to the points, prints it as a table row and stores it under the name.
func (r *report) addPoints(name, driver, unit string, xs, ys []float64) {
	l := fit(xs, ys)
	r.fits[name] = l
	fmt.Printf("| %s | %s (%s) | %s | %s | %s | %s | %s |\n", name, driver, formatValues(xs), formatValues(ys), unit,
		formatValue(l.intercept), formatValue(l.slope), formatValue(l.residual))
}

func formatValues(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = formatValue(v)
	}
	return strings.Join(texts, ", ")
}

// formatValue formats a value with three significant digits, or without decimals from 1000 on.
func formatValue(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// processorTimePerCall returns the processor time of one call of f in microseconds, as the median of three rounds of n
// calls. On systems other than Unix, it is elapsed time. It includes garbage collection.
func processorTimePerCall(n int, f func()) float64 {
	var rounds []float64
	for range 3 {
		before := processorTime()
		for range n {
			f()
		}
		rounds = append(rounds, float64((processorTime()-before).Nanoseconds())/1000/float64(n))
	}
	slices.Sort(rounds)
	return rounds[1]
}

// retainedHeap returns the bytes of heap that the result of build keeps in use.
func retainedHeap(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// heapInUse returns the bytes of reachable heap objects. It collects garbage twice, because a sync.Pool releases its
// objects only with the second collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
