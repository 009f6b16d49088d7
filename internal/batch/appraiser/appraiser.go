// Package appraiser estimates what work on batch jobs is worth to their callers, so that scarce processors go where they are worth most.
package appraiser

const (
	// baseValue is the part of the value of an average job that each job of its queue has, however small it is. workValue is the part that grows in
	// proportion to the work of the job, up to maxValue times the value of an average job.
	baseValue = 0.3
	workValue = 0.7
	maxValue  = 4
	// lateShare and expiredShare are the parts of its value that a job keeps if it completes after its objective, and after the time in which its result
	// still has a value. A part above 0 keeps the order among such jobs.
	lateShare    = 0.15
	expiredShare = 0.02
	// minRemainingWork is the least remaining work that is counted, in processor seconds. Below it the estimates of durations say little.
	minRemainingWork = 1
	// meanWeight is the weight of one job in the moving average of the work of a queue's jobs, once there are 1/meanWeight of them.
	meanWeight = 0.02
	// maxQueues limits the queues with an average. Jobs of further queues count as average ones.
	maxQueues = 4096
)

// Prospects of a job, by the time at which it would complete.
const (
	// OnTime means that it meets its objective, Late that it misses it but its result still has some value, and Expired that it has none.
	OnTime Prospect = iota
	Late
	Expired
)

type (
	// Prospect says what a job is worth when it completes as estimated.
	Prospect int

	// Appraiser estimates the value of jobs. It learns the average work of the jobs in each queue. The zero value knows none. It is not safe for concurrent
	// use.
	Appraiser struct {
		queues map[string]*average
	}

	// average is a moving average of the work of jobs in processor seconds.
	average struct {
		work  float64
		count int
	}
)

// Observe adds a job of the queue with the given work in processor seconds.
func (a *Appraiser) Observe(queue string, work float64) {
	if work <= 0 {
		return
	}
	known, ok := a.queues[queue]
	if !ok {
		if len(a.queues) >= maxQueues {
			return
		}
		if a.queues == nil {
			a.queues = map[string]*average{}
		}
		known = &average{}
		a.queues[queue] = known
	}
	known.count++
	known.work += max(meanWeight, 1/float64(known.count)) * (work - known.work)
}

// Value returns the value of a job with the given work relative to that of an average job of its queue.
func (a *Appraiser) Value(queue string, work float64) float64 {
	known, ok := a.queues[queue]
	if !ok {
		return baseValue + workValue
	}
	return min(baseValue+workValue*work/known.work, maxValue)
}

// ValuePerProcessorSecond returns what a processor second of work on a job of the queue is worth, relative to the value of an average job: the value that
// the job still has, divided by the work that remains until it has it. Both amounts of work are in processor seconds.
func (a *Appraiser) ValuePerProcessorSecond(queue string, work, remainingWork float64, p Prospect) float64 {
	value := a.Value(queue, work)
	switch p {
	case Late:
		value *= lateShare
	case Expired:
		value *= expiredShare
	}
	return value / max(remainingWork, minRemainingWork)
}
