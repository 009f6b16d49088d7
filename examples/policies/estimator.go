package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bamboohook/estimator"
	"bamboohook/resource"
)

// interferenceModel is the part of an estimator that the scenario with pairs of kinds uses. The baseline also implements
// it.
type interferenceModel interface {
	Observe(criticalKind string, shares map[string]float64, slowdown float64)
	Interference(criticalKind, kind string) float64
}

// averageModel is a baseline that attributes the whole slowdown to each kind that is present.
type averageModel struct {
	sums, weights map[[2]string]float64
}

func (a averageModel) Observe(criticalKind string, shares map[string]float64, slowdown float64) {
	for kind, share := range shares {
		a.sums[[2]string{criticalKind, kind}] += math.Log(slowdown)
		a.weights[[2]string{criticalKind, kind}] += share
	}
}

func (a averageModel) Interference(criticalKind, kind string) float64 {
	if w := a.weights[[2]string{criticalKind, kind}]; w > 0 {
		return a.sums[[2]string{criticalKind, kind}] / w
	}
	return 0
}

func estimatorScenarios() []scenario {
	pairs := scenario{
		name:    "Bureau and Caroni pairs, a report of each VM every 5 s, one effect changes after 2 h of 6 h",
		columns: []string{"mean error after 10 reports", "after 10 min", "after 2 h", "10 min after the change", "after 6 h"},
	}
	for _, p := range []struct {
		name  string
		model func(clock estimator.Clock) interferenceModel
	}{
		{"prior for all pairs", func(clock estimator.Clock) interferenceModel {
			return estimator.New(estimator.Options{Clock: clock, PriorDeviation: 1e-9})
		}},
		{"average per pair", func(estimator.Clock) interferenceModel {
			return averageModel{map[[2]string]float64{}, map[[2]string]float64{}}
		}},
		{"estimator", func(clock estimator.Clock) interferenceModel { return estimator.New(estimator.Options{Clock: clock}) }},
		{"– without forgetting", func(clock estimator.Clock) interferenceModel {
			return estimator.New(estimator.Options{Clock: clock, HalfLife: 1e6 * time.Hour})
		}},
		{"– without shrinkage", func(clock estimator.Clock) interferenceModel {
			return estimator.New(estimator.Options{Clock: clock, PriorDeviation: 100})
		}},
	} {
		pairs.policies = append(pairs.policies, policy{p.name, func(seed uint64) result { return runPairs(seed, p.model) }})
	}
	sizes := scenario{
		name:    "declared sizes wrong by 0.2 to 5, run times with a heavy tail, 5 kinds, 2,000 tasks",
		columns: []string{"tasks above their memory %", "memory reserved / used", "processors: median factor off", "run time: median factor off"},
	}
	for _, p := range []struct {
		name    string
		options *estimator.Options
	}{
		{"declared", nil},
		{"estimator", &estimator.Options{}},
		{"– with median for memory", &estimator.Options{MemoryQuantile: 0.5}},
		{"– without shrinkage", &estimator.Options{PriorCompletions: 1e-9}},
	} {
		sizes.policies = append(sizes.policies, policy{p.name, func(seed uint64) result { return runSizes(seed, p.options) }})
	}
	return []scenario{pairs, sizes}
}

// runPairs feeds reports to the model for 6 hours. It returns the mean error of the model over all pairs at five times
// of the run. After 2 hours, the interference of one pair changes.
func runPairs(seed uint64, model func(estimator.Clock) interferenceModel) result {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	m := model(clock)
	trueInterference := map[[2]string]float64{}
	for _, w := range workloads {
		for pair, effect := range w.interference {
			trueInterference[pair] = effect
		}
	}
	var r result
	for t := range 6 * 720 {
		clock.Advance(5 * time.Second)
		if t == 1440 {
			trueInterference[[2]string{"preview", "indexing"}] = 1.3
		}
		for _, w := range workloads {
			for vm := range 11 {
				shares := map[string]float64{}
				for _, kind := range w.batchKinds {
					shares[kind] = random.Float64() / float64(len(w.batchKinds))
				}
				for _, criticalKind := range w.criticalKinds(vm) {
					logSlowdown := 0.15 * random.NormFloat64()
					for _, kind := range w.batchKinds {
						logSlowdown += trueInterference[[2]string{criticalKind, kind}] * shares[kind]
					}
					m.Observe(criticalKind, shares, math.Exp(logSlowdown))
				}
			}
		}
		if t == 0 || t == 119 || t == 1439 || t == 1559 || t == 4319 {
			var absErrors []float64
			for pair, effect := range trueInterference {
				absErrors = append(absErrors, math.Abs(m.Interference(pair[0], pair[1])-effect))
			}
			r = append(r, mean(absErrors))
		}
	}
	return r
}

// runSizes compares declared and corrected sizes and run times with the actual ones for 2,000 tasks. If options is nil,
// the declared values are not corrected.
func runSizes(seed uint64, options *estimator.Options) result {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := clockwork.NewFakeClock()
	var e *estimator.Estimator
	if options != nil {
		o := *options
		o.Clock = clock
		e = estimator.New(o)
	}
	kinds := []string{"face-build", "indexing", "full-plan", "preview", "road-check"}
	bias := map[string]float64{}
	for _, kind := range kinds {
		bias[kind] = math.Exp(random.Float64()*2*math.Log(5) - math.Log(5))
	}
	usageFactor := func(kind string, spread float64) float64 {
		return bias[kind] * math.Exp(spread*random.NormFloat64())
	}
	tasksAboveMemory, reservedBytes, usedBytes := 0.0, 0.0, 0.0
	var processors, runTimes []float64
	const tasks = 2000
	for range tasks {
		clock.Advance(5 * time.Second)
		kind := kinds[random.IntN(len(kinds))]
		declared := estimator.Demand{Size: resource.Amount{MilliProcessors: 2000, MemoryBytes: 8 << 30}, RunTime: 5 * time.Minute}
		actual := estimator.Demand{
			Size: resource.Amount{
				MilliProcessors: int64(2000 * min(5, max(0.2, usageFactor(kind, 0.3)))),
				MemoryBytes:     int64((8 << 30) * min(5, max(0.2, usageFactor(kind, 0.3)))),
			},
			RunTime: time.Duration(float64(5*time.Minute) * usageFactor(kind, 1)),
		}
		expected := declared
		if e != nil {
			expected = e.Correct(kind, declared)
			e.RecordCompletion(kind, declared, actual)
		}
		if actual.Size.MemoryBytes > expected.Size.MemoryBytes {
			tasksAboveMemory++
		}
		reservedBytes += float64(expected.Size.MemoryBytes)
		usedBytes += float64(actual.Size.MemoryBytes)
		processors = append(processors, math.Exp(math.Abs(math.Log(float64(expected.Size.MilliProcessors)/float64(actual.Size.MilliProcessors)))))
		runTimes = append(runTimes, math.Exp(math.Abs(math.Log(float64(expected.RunTime)/float64(actual.RunTime)))))
	}
	return result{100 * tasksAboveMemory / tasks, reservedBytes / usedBytes, quantile(processors, 0.5), quantile(runTimes, 0.5)}
}
