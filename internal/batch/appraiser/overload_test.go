package appraiser_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"bamboohook/internal/batch/appraiser"
)

// The load is that of a fleet whose best-effort jobs request 1.25 times the processors that they can use, after a burst of 2.3 times as many jobs for 4 s: 2.6
// jobs a second of about 380 processor seconds, of which each can use 70 processors at a time, with an objective of 12 s and no value after 36 s.
const (
	processors       = 800.0
	maxPerJob        = 70.0
	jobsPerSecond    = 2.6
	objective        = 12.0
	expiry           = 3 * objective
	loadTime         = 60.0
	timeStep         = 0.1
	burstFactor      = 2.3
	burstFrom, burst = 10.0, 4.0
	lateValue        = 0.15
	// starvationTime is the time after which a job goes before all others with a small share, as tasks do that have lost too much time.
	starvationTime  = 18.0
	starvationShare = 0.1
)

type fluidJob struct {
	arrived, work, remaining, completed float64
}

// play distributes the processors among the jobs by rank, the lowest first, and returns the value of the jobs relative to that of all, and the longest time
// that a job took. Without a rank, all jobs get the same share.
func play(seed uint64, rank func(a *appraiser.Appraiser, j *fluidJob, now float64) float64) (value, longest float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var a appraiser.Appraiser
	var live, all []*fluidJob
	for now := 0.0; now < loadTime || len(live) > 0; now += timeStep {
		rate := jobsPerSecond
		if now >= burstFrom && now < burstFrom+burst {
			rate *= burstFactor
		}
		if now < loadTime && random.Float64() < rate*timeStep {
			work := 60 + random.ExpFloat64()*320
			j := &fluidJob{arrived: now, work: work, remaining: work}
			a.Observe("q", work)
			live, all = append(live, j), append(all, j)
		}
		left := processors
		if rank == nil {
			for _, j := range live {
				used := min(left, maxPerJob, processors/float64(len(live)))
				j.remaining -= used * timeStep
			}
		} else {
			slices.SortStableFunc(live, func(x, y *fluidJob) int { return cmp.Compare(rank(&a, x, now), rank(&a, y, now)) })
			for _, j := range live {
				if now-j.arrived > starvationTime {
					used := min(left, starvationShare*maxPerJob)
					j.remaining -= used * timeStep
					left -= used
				}
			}
			for _, j := range live {
				used := min(left, maxPerJob)
				j.remaining -= used * timeStep
				left -= used
			}
		}
		live = slices.DeleteFunc(live, func(j *fluidJob) bool {
			if j.remaining > 0 {
				return false
			}
			j.completed = now
			return true
		})
	}
	earned, owed := 0.0, 0.0
	for _, j := range all {
		full, took := a.Value("q", j.work), j.completed-j.arrived
		owed += full
		longest = max(longest, took)
		switch {
		case took <= objective:
			earned += full
		case took <= expiry:
			earned += lateValue * full
		}
	}
	return earned / owed, longest
}

// Guards against an order that lets most jobs of an overload miss their objectives although the processors would do for most of them, and against one that
// starves the others.
func TestOrdersUnderOverload(t *testing.T) {
	const seeds = 20
	prospect := func(j *fluidJob, now float64) appraiser.Prospect {
		end := now + j.remaining/maxPerJob
		switch {
		case end <= j.arrived+objective:
			return appraiser.OnTime
		case end <= j.arrived+expiry:
			return appraiser.Late
		}
		return appraiser.Expired
	}
	orders := map[string]func(a *appraiser.Appraiser, j *fluidJob, now float64) float64{
		"even sharing": nil,
		"least slack": func(_ *appraiser.Appraiser, j *fluidJob, now float64) float64 {
			return j.arrived + objective - now - j.remaining/maxPerJob
		},
		"least work": func(_ *appraiser.Appraiser, j *fluidJob, _ float64) float64 { return j.remaining },
		"first come": func(_ *appraiser.Appraiser, j *fluidJob, _ float64) float64 { return j.arrived },
		"value per work": func(a *appraiser.Appraiser, j *fluidJob, now float64) float64 {
			return -a.ValuePerProcessorSecond("q", j.work, j.remaining, prospect(j, now))
		},
	}
	values, longest := map[string]float64{}, map[string]float64{}
	for name, rank := range orders {
		for seed := range uint64(seeds) {
			value, took := play(seed, rank)
			values[name] += value / seeds
			longest[name] = max(longest[name], took)
		}
		t.Logf("%s: value %.3f, longest %.1f s", name, values[name], longest[name])
	}
	for name := range orders {
		if values[name] > values["value per work"]+0.01 {
			t.Errorf("%q earns %.3f, the value per processor second %.3f", name, values[name], values["value per work"])
		}
	}
	if values["value per work"] < values["even sharing"]+0.1 {
		t.Errorf("the value per processor second earns %.3f, even sharing %.3f", values["value per work"], values["even sharing"])
	}
	if bound := loadTime + 2*expiry; longest["value per work"] > bound {
		t.Errorf("a job took %.1f s, more than %.1f s", longest["value per work"], bound)
	}
}
