package capacity_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bamboohook/claimer"
	"bamboohook/configurator"
	"bamboohook/internal/forwarder"
	"bamboohook/internal/message"
	"bamboohook/resource"
	"bamboohook/scheduler"
	"bamboohook/stream"
	"bamboohook/task"
)

var fleetSizes = []int{300, 900, 1800, 2700}

func newHeartbeat(vm, tasks int) message.Heartbeat {
	h := message.Heartbeat{
		VM: fmt.Sprintf("worker-%04d", vm), Generation: "18a5c6f0d2b3e4f7-ABCDEFGH", State: message.StateUp, DataCentre: "kingston-a",
		Services: []message.Service{{Name: "preview", Slots: 8, Connections: 64}, {Name: "road-check", Slots: 8, Connections: 64}},
	}
	for n := range tasks {
		h.Tasks = append(h.Tasks, message.TaskReport{
			Identity: task.Identity{Job: "job-1", Task: n, Attempt: 1, Epoch: 7}, State: message.TaskRunning,
			Usage: resource.Amount{MilliProcessors: 3871, MemoryBytes: 9_134_567_424},
		})
	}
	return h
}

// BenchmarkHeartbeatDecode decodes a heartbeat. The cost depends on the number of running tasks of the VM.
func BenchmarkHeartbeatDecode(b *testing.B) {
	for _, tasks := range []int{0, 7, 14, 28} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			body, _ := json.Marshal(newHeartbeat(1, tasks))
			b.ReportAllocs()
			for b.Loop() {
				var h message.Heartbeat
				if json.Unmarshal(body, &h) != nil {
					b.Fatal("cannot decode the heartbeat")
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

// BenchmarkHeartbeatObserve passes heartbeats to the forwarder of an entry, for fleets of different sizes.
func BenchmarkHeartbeatObserve(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			f := &forwarder.Forwarder{}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				h := newHeartbeat(n%vms, 0)
				h.Sequence = uint64(n + 1)
				if !f.Observe(h) {
					b.Fatal("heartbeat was ignored")
				}
				n++
			}
		})
	}
}

// BenchmarkReplay replays jobs of 10 tasks from their records. The cost depends on the number of records.
func BenchmarkReplay(b *testing.B) {
	for _, jobs := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("records=%d", jobs*11), func(b *testing.B) {
			records := []stream.Record{stream.NewRecord(claimer.KindClaim, claimer.Claim{Entry: "entry-1"})}
			for n := range jobs {
				id := fmt.Sprintf("job-%d", n)
				records = append(records, stream.NewRecord(scheduler.KindJob, scheduler.Job{ID: id, Tasks: 10, RunTime: time.Minute}))
				for t := range 10 {
					records = append(records, stream.NewRecord(scheduler.KindAssignment, scheduler.Assignment{
						Identity: task.Identity{Job: id, Task: t, Attempt: 1, Epoch: 1}, VMs: []string{"vm-1", "vm-2", "vm-3"},
					}))
				}
			}
			for b.Loop() {
				s := scheduler.New(claimer.New(claimer.Options{}))
				for i, r := range records {
					if v := s.Apply(r, uint64(i+1), time.Unix(0, 0)); v != scheduler.Applied {
						b.Fatalf("record %d is %s", i, v)
					}
				}
			}
		})
	}
}

func newConfigurator(vms int) *configurator.Configurator {
	sections := configurator.Sections{}
	for n := range vms {
		sections[fmt.Sprintf("vm.worker-%04d", n)] = map[string]string{
			"data-centre": "kingston-a", "rack": "r1", "processors": "64", "memory": "250GB", "services": "preview, road-check",
		}
	}
	c := configurator.New(configurator.Options{})
	c.Apply(1, configurator.Change{ID: "change-0", Set: sections})
	return c
}

// BenchmarkConfigurationApply applies a change of one section. The cost depends on the number of sections.
func BenchmarkConfigurationApply(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprintf("sections=%d", vms), func(b *testing.B) {
			c := newConfigurator(vms)
			n := uint64(0)
			for b.Loop() {
				n++
				c.Apply(n+1, configurator.Change{
					ID: fmt.Sprintf("change-%d", n), BaseRevision: n, Set: configurator.Sections{"vm.worker-0007": {"rack": fmt.Sprint(n)}},
				})
			}
		})
	}
}

// BenchmarkConfigurationState copies the whole configuration, as an entry does for a response to another entry.
func BenchmarkConfigurationState(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprintf("sections=%d", vms), func(b *testing.B) {
			c := newConfigurator(vms)
			b.ReportAllocs()
			for b.Loop() {
				c.State()
			}
		})
	}
}
