// Package resource defines amounts of the resources that VMs offer and tasks request.
package resource

import "fmt"

// Amount is an amount of processors, memory and accelerators, such as the capacity of a VM or the size of a task. The
// zero value is empty. An Amount is a plain value: copies are independent, and concurrent reads are safe.
type Amount struct {
	// MilliProcessors is the number of thousandths of a processor.
	MilliProcessors int64 `json:"milli-processors"`
	MemoryBytes     int64 `json:"memory-bytes"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliProcessors + b.MilliProcessors, a.MemoryBytes + b.MemoryBytes, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b. The result is negative in each dimension in which b is larger.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliProcessors - b.MilliProcessors, a.MemoryBytes - b.MemoryBytes, a.Accelerators - b.Accelerators}
}

// Fits reports whether a is at most b in every dimension.
func (a Amount) Fits(b Amount) bool {
	return a.MilliProcessors <= b.MilliProcessors && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}

// Negative reports whether a is below zero in any dimension.
func (a Amount) Negative() bool {
	return a.MilliProcessors < 0 || a.MemoryBytes < 0 || a.Accelerators < 0
}

// String formats the amount as in the tables of the command line, for example "2.5 cpu, 1.0 GiB, 0 acc".
func (a Amount) String() string {
	return fmt.Sprintf("%.1f cpu, %.1f GiB, %d acc", float64(a.MilliProcessors)/1000, float64(a.MemoryBytes)/(1<<30), a.Accelerators)
}
