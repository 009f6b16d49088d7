package lessor_test

import (
	"fmt"
	"time"

	"bamboohook/lessee"
	"bamboohook/lessor"
	"bamboohook/task"
)

// The lessee counts the lease from the time at which it sent the request, and the lessor counts it from the later time
// of the response, so the lease always ends at the lessee first.
func Example() {
	id := task.Identity{Job: "faces", Attempt: 1, Shard: 0, Epoch: 12}
	owner, agent := &lessor.Lessor{}, &lessee.Lessee{}
	owner.StartGranting(0, 12, nil, start)
	owner.RecordLogContact(start)

	sent := start.Add(time.Second)
	responded := sent.Add(200 * time.Millisecond)
	lease, _ := owner.Grant("vm-1", id, responded)
	agent.Acquire(id, lease.Duration, sent, responded.Add(200*time.Millisecond))

	leaseEnd, _ := agent.LeaseEnd(id)
	notRunningAfter, _ := owner.NotRunningAfter("vm-1", id)
	fmt.Println("the lessee stops after", leaseEnd.Sub(start))
	fmt.Println("the lessor reassigns after", notRunningAfter.Sub(start))
	// Output:
	// the lessee stops after 11s
	// the lessor reassigns after 11.3s
}
