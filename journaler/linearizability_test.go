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

// Operations on one key, and states of the sequential model.
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
	input struct {
		operation int
		key       string
		status    int
	}

	output struct {
		state  journaler.State
		status int
		ok     bool
	}

	model struct{ state, status int }
)

// step is the sequential model of one key. A key can start only while it is fresh.
func step(state, in, out any) (bool, any) {
	m, i, o := state.(model), in.(input), out.(output)
	switch i.operation {
	case begin:
		switch m.state {
		case fresh:
			return o.state == journaler.Start, model{state: running}
		case running:
			return o.state == journaler.Running, m
		case stored:
			return o.state == journaler.Stored && o.status == m.status, m
		default:
			return o.state == journaler.Revoked, m
		}
	case finish:
		if m.state == running {
			return true, model{stored, i.status}
		}
		return true, m
	case abandon:
		if m.state == running {
			return true, model{state: revoked}
		}
		return true, m
	default:
		if m.state == fresh {
			return o.ok, model{state: revoked}
		}
		return o.ok == (m.state == revoked), m
	}
}

var _ = Describe("Journaler under concurrency", func() {
	// Guards against a key that starts twice, or a response that changes, when repeats arrive through several
	// entries at once.
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		It("is linearizable for each key", func() {
			j := journaler.New(journaler.Options{VM: "vm", Generation: "1"})
			keys := []string{j.Issue(), j.Issue(), j.Issue()}
			began := time.Now()
			var (
				mutex   sync.Mutex
				history []porcupine.Operation
				callers sync.WaitGroup
			)
			for client := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				callers.Go(func() {
					for n := range 40 {
						in := input{operation: random.IntN(4), key: keys[random.IntN(len(keys))], status: client*100 + n}
						called := time.Since(began)
						out := apply(j, in)
						returned := time.Since(began)
						mutex.Lock()
						history = append(history, porcupine.Operation{
							ClientId: client, Input: in, Output: out, Call: int64(called), Return: int64(returned),
						})
						mutex.Unlock()
					}
				})
			}
			callers.Wait()
			checked := porcupine.CheckOperationsTimeout(porcupine.Model{
				Partition: byKey, Init: func() any { return model{state: fresh} }, Step: step,
			}, history, 20*time.Second)
			Expect(checked).To(Equal(porcupine.Ok), "seed %d", seed)
		})
	}
})

func apply(j *journaler.Journaler, in input) output {
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

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, o := range history {
		key := o.Input.(input).key
		parts[key] = append(parts[key], o)
	}
	var all [][]porcupine.Operation
	for _, p := range parts {
		all = append(all, p)
	}
	return all
}
