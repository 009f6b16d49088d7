package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bamboohook/estimator"
	"bamboohook/placer"
	"bamboohook/resource"
)

// addedSlowdowns is an InterferenceModel. It maps the name of each VM to the expected slowdown of the services
// on the VM, minus 1.
type addedSlowdowns map[string]float64

func (s addedSlowdowns) Slowdown(vm, _ string, _ float64) float64 { return 1 + s[vm] }

func amount(processors, gigabytes, accelerators int64) resource.Amount {
	return resource.Amount{MilliProcessors: processors * 1000, MemoryBytes: gigabytes << 30, Accelerators: accelerators}
}

func vm(name string, free resource.Amount, state placer.State) placer.VM {
	return placer.VM{Name: name, Capacity: amount(64, 250, 4), Free: free, State: state}
}

var _ = Describe("Placer", func() {
	cases := map[string]struct {
		failure        string
		vms            []placer.VM
		addedSlowdowns addedSlowdowns
		size           resource.Amount
		wantFirst      string
		wantReason     string
	}{
		"a full VM whose services the task would slow down": {
			"the full VM is chosen although an empty VM has room",
			[]placer.VM{vm("full", amount(4, 16, 0), placer.Up), vm("empty", amount(64, 250, 0), placer.Up)},
			addedSlowdowns{"full": 0.5},
			amount(2, 8, 0), "empty", "",
		},
		"VMs whose expected slowdowns round down to the same multiple of SlowdownStep": {
			"a small task takes room on the empty VM that a large task may need",
			[]placer.VM{vm("empty", amount(64, 250, 0), placer.Up), vm("full", amount(4, 16, 0), placer.Up)},
			addedSlowdowns{"full": 0.01},
			amount(2, 8, 0), "full", "",
		},
		"VMs with similar free capacity": {
			"a VM other than the fullest one is chosen",
			[]placer.VM{
				vm("a", amount(10, 250, 0), placer.Up), vm("b", amount(11, 250, 0), placer.Up), vm("c", amount(12, 250, 0), placer.Up),
				vm("d", amount(13, 250, 0), placer.Up), vm("fullest", amount(9, 129, 0), placer.Up), vm("e", amount(14, 250, 0), placer.Up),
			},
			nil, amount(2, 8, 0), "fullest", "",
		},
		"a VM with free accelerators": {
			"a task that needs no accelerators takes room on it",
			[]placer.VM{vm("accelerated", amount(4, 16, 4), placer.Up), vm("plain", amount(64, 250, 0), placer.Up)},
			nil, amount(2, 8, 0), "plain", "",
		},
		"VMs in every state": {
			"a VM that is draining, suspect or quarantined is chosen",
			[]placer.VM{
				vm("draining", amount(8, 16, 0), placer.Draining), vm("suspect", amount(8, 16, 0), placer.Suspect),
				vm("quarantined", amount(8, 16, 0), placer.Quarantined), vm("up", amount(64, 250, 0), placer.Up),
			},
			nil, amount(2, 8, 0), "up", "",
		},
		"a fleet without a VM in state Up": {
			"another reason than ReasonNoVM is returned",
			[]placer.VM{vm("draining", amount(8, 16, 0), placer.Draining)},
			nil, amount(2, 8, 0), "", placer.ReasonNoVM,
		},
		"a fleet whose only VM is full": {
			"a task that only has to wait is reported as larger than every VM",
			[]placer.VM{vm("full", amount(1, 1, 0), placer.Up)},
			nil, amount(2, 8, 0), "", placer.ReasonNoRoom,
		},
		"a task that is larger than every VM": {
			"the task is reported as waiting for room, and waits forever",
			[]placer.VM{vm("empty", amount(64, 250, 4), placer.Up)},
			nil, amount(65, 8, 0), "", placer.ReasonTooLarge,
		},
	}
	for name, c := range cases {
		It("given "+name+", avoids this failure: "+c.failure, func() {
			p := placer.New(placer.Options{Interference: c.addedSlowdowns})
			for _, v := range c.vms {
				p.Set(v)
			}
			names, reason := p.Place(placer.Task{Kind: "indexing", Size: c.size})
			Expect(reason).To(Equal(c.wantReason))
			if c.wantFirst == "" {
				Expect(names).To(BeEmpty())
				return
			}
			Expect(names[0]).To(Equal(c.wantFirst))
			// Place compares a random selection of VMs, so a single result may be right by chance.
			for range 8 {
				repeated, _ := p.Place(placer.Task{Kind: "indexing", Size: c.size})
				Expect(repeated[0]).To(Equal(c.wantFirst))
			}
		})
	}

	It("finds the only VM with room among many VMs, although it compares only a few of them, and follows Commit, Release and Remove", func() {
		p := placer.New(placer.Options{})
		for i := range 2700 {
			p.Set(vm(fmt.Sprint(i), amount(4, 16, 0), placer.Up))
		}
		p.Set(vm("last", resource.Amount{MilliProcessors: 4095, MemoryBytes: 16 << 30}, placer.Up))
		task := placer.Task{Size: resource.Amount{MilliProcessors: 4090, MemoryBytes: 16 << 30}}
		Expect(p.Place(task)).To(Equal([]string{"last"}))
		p.Commit("last", task.Size)
		_, reason := p.Place(task)
		Expect(reason).To(Equal(placer.ReasonNoRoom))
		p.Release("last", task.Size)
		Expect(p.Place(task)).To(Equal([]string{"last"}))
		p.Remove("last")
		_, reason = p.Place(task)
		Expect(reason).To(Equal(placer.ReasonNoRoom))
	})
})

func ExamplePlacer() {
	p := placer.New(placer.Options{Interference: addedSlowdowns{"a": 0.4}})
	p.Set(vm("a", amount(8, 32, 0), placer.Up))
	p.Set(vm("b", amount(32, 125, 0), placer.Up))
	task := placer.Task{Kind: "face-build", Size: amount(4, 16, 0)}
	names, _ := p.Place(task)
	p.Commit(names[0], task.Size)
	fmt.Println(names)
	// Output: [b a]
}

// BenchmarkPlace places tasks on VMs that each run two latency-critical services and eight kinds of batch
// tasks, so that Place computes the expected slowdowns. Whenever a task is placed, another one ends. The
// largest fleet has 2,700 VMs with 59,000 tasks and 3,900 accelerators. Smaller fleets have the same ratios.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{300, 900, 2700} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(7, uint64(n)))
			e := estimator.New(estimator.Options{Clock: clockwork.NewFakeClock()})
			p := placer.New(placer.Options{Interference: e})
			accelerators := n * 3900 / 2700
			for i := range n {
				v := vm(fmt.Sprint("vm-", i), amount(64, 250, 0), placer.Up)
				if i%3 == 0 {
					v.Free.Accelerators = min(4, int64(accelerators))
					v.Capacity.Accelerators = v.Free.Accelerators
					accelerators -= int(v.Free.Accelerators)
				}
				report := estimator.LoadReport{VM: v.Name, CriticalServices: []string{"preview", "download"}, Shares: map[string]float64{}}
				for k := range 8 {
					report.Shares[fmt.Sprint("kind-", k)] = random.Float64() / 8
				}
				e.SetLoad(report)
				p.Set(v)
			}
			type placement struct {
				vm   string
				size resource.Amount
			}
			placements := make([]placement, 0, n*59000/2700)
			releaseAndPlace := func() {
				if len(placements) == cap(placements) {
					k := random.IntN(len(placements))
					p.Release(placements[k].vm, placements[k].size)
					placements[k] = placements[len(placements)-1]
					placements = placements[:len(placements)-1]
				}
				size := amount(1+random.Int64N(4), 2+random.Int64N(16), 0)
				if random.IntN(20) == 0 {
					size.Accelerators = 1
				}
				if names, _ := p.Place(placer.Task{Kind: "indexing", Size: size}); len(names) > 0 {
					p.Commit(names[0], size)
					placements = append(placements, placement{names[0], size})
				}
			}
			for range cap(placements) {
				releaseAndPlace()
			}
			b.ReportAllocs()
			for b.Loop() {
				releaseAndPlace()
			}
			b.ReportMetric(float64(len(placements)), "tasks")
		})
	}
}
