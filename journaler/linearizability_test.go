package journaler_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/journaler"
)

// The first four constants are the operations on a key. The others are the states of a key in the sequential model.
const (
	begin = iota
	finish
	abandon
	revoke

	fresh = iota
	running
	stored
	revoked
)

type (
	// input is an operation with its arguments. status is the status of the response that is passed to Finish; other
	// operations ignore it.
	input struct {
		operation int
		key       string
		status    int
	}

	// output is the result of an operation. state and status, the status of the stored response, are results of Begin,
	// and ok is the result of Revoke. Fields that the operation does not return are zero.
	output struct {
		state  journaler.State
		status int
		ok     bool
	}

	// modelState is the state of a key in the sequential model, with the status of its stored response.
	modelState struct{ state, status int }
)

// step is the sequential model of one key: it reports whether the operation may have the result in the given state, and
// returns the next state. A key is fresh until the first Begin or Revoke. Only with a fresh key may Begin
// return Fresh.
func step(state, operation, result any) (bool, any) {
	m, i, o := state.(modelState), operation.(input), result.(output)
	switch i.operation {
	case begin:
		switch m.state {
		case fresh:
			return o.state == journaler.Fresh, modelState{state: running}
		case running:
			return o.state == journaler.Running, m
		case stored:
			return o.state == journaler.Stored && o.status == m.status, m
		default:
			return o.state == journaler.Revoked, m
		}
	case finish:
		if m.state == running {
			return true, modelState{stored, i.status}
		}
		return true, m
	case abandon:
		if m.state == running {
			return true, modelState{state: revoked}
		}
		return true, m
	default:
		if m.state == fresh {
			return o.ok, modelState{state: revoked}
		}
		return o.ok == (m.state == revoked), m
	}
}

var _ = Describe("Journaler under concurrency", func() {
	// Guards against two requests with the same key that both start, and against a stored response that changes, if
	// several entries send requests with the same key at the same time.
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		It("is linearizable: the results for each key match a sequential order of the operations", func() {
			j := journaler.New(journaler.Options{VM: "vm", Generation: "1"})
			keys := []string{j.Issue(), j.Issue(), j.Issue()}
			startedAt := time.Now()
			var (
				mutex     sync.Mutex
				history   []porcupine.Operation
				waitGroup sync.WaitGroup
			)
			for client := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				waitGroup.Go(func() {
					for n := range 40 {
						in := input{operation: random.IntN(4), key: keys[random.IntN(len(keys))], status: client*100 + n}
						callTime := time.Since(startedAt)
						out := applyOperation(j, in)
						returnTime := time.Since(startedAt)
						mutex.Lock()
						history = append(history, porcupine.Operation{
							ClientId: client, Input: in, Output: out, Call: int64(callTime), Return: int64(returnTime),
						})
						mutex.Unlock()
					}
				})
			}
			waitGroup.Wait()
			result := porcupine.CheckOperationsTimeout(porcupine.Model{
				Partition: partitionByKey, Init: func() any { return modelState{state: fresh} }, Step: step,
			}, history, 20*time.Second)
			Expect(result).To(Equal(porcupine.Ok), "seed %d", seed)
		})
	}
})

// applyOperation runs the operation on the journal and returns its result.
func applyOperation(j *journaler.Journaler, in input) output {
	switch in.operation {
	case begin:
		v := j.Begin(in.key)
		return output{state: v.State, status: v.Response.Status}
	case finish:
		j.Finish(in.key, journaler.Response{Status: in.status})
	case abandon:
		j.Abandon(in.key)
	default:
		return output{ok: j.Revoke(in.key)}
	}
	return output{}
}

// partitionByKey divides the operations by key, because the sequential model describes one key.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	historyByKey := map[string][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(input).key
		historyByKey[key] = append(historyByKey[key], o)
	}
	var partitions [][]porcupine.Operation
	for _, p := range historyByKey {
		partitions = append(partitions, p)
	}
	return partitions
}
