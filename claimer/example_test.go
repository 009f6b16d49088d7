package claimer_test

import (
	"fmt"

	"bamboohook/claimer"
	"bamboohook/stream"
)

// The first valid claim of a shard in the stream decides which entry owns the shard.
func Example() {
	c := claimer.New(claimer.Options{Entry: "entry-1", ShardCount: 1})
	c.Apply(stream.NewRecord(claimer.KindPresence, claimer.Presence{Entry: "entry-1"}), 1, start)
	for i, claim := range c.ClaimsDue(start) {
		c.Apply(stream.NewRecord(claimer.KindClaim, claim), uint64(2+i), start)
	}
	late := claimer.Claim{Shard: 0, Entry: "entry-2", PreviousEpoch: 0}
	fmt.Println("late claim:", c.Apply(stream.NewRecord(claimer.KindClaim, late), 3, start))
	fmt.Println(c.Ownership(0).Owner, c.Ownership(0).Epoch)
	// Output:
	// late claim: false
	// entry-1 2
}
