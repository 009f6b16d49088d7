package main

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
)

type (
	// line is a fit by least squares. Residual is the root of the mean squared distance of the points from it.
	linearFit struct{ intercept, slope, residual float64 }

	// report prints the lines as they are measured and keeps them for the projection.
	report struct {
		section string
		fits    map[string]linearFit
	}
)

// fit returns the line through the points. It needs at least two different values in xs.
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

// at returns the value of the line at x.
func (l linearFit) predict(x float64) float64 { return l.intercept + l.slope*x }

// measure calls f for each size and prints the line through the results.
func (r *report) measure(name, driver, unit string, sizes []float64, f func(size int) float64) {
	ys := make([]float64, len(sizes))
	for i, x := range sizes {
		ys[i] = f(int(x))
	}
	r.addPoints(name, driver, unit, sizes, ys)
}

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

// short formats a value with three significant digits.
func formatValue(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// perCall returns the processor time of one call of f in microseconds: the median of three rounds of n calls. It
// includes garbage collection, and is not a time that passed.
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

// heap returns how many bytes of the heap the result of build keeps.
func retainedHeap(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
