package limiter_test

import (
	"context"
	"fmt"

	"bamboohook/limiter"
)

func Example() {
	l := limiter.New(limiter.Options{Capacity: 2, Weights: map[string]float64{"road-check": 3, "route-plan": 1}, MaxQueueLength: 1})
	ticket, _ := l.Acquire(context.Background(), "road-check")
	l.Submit("route-plan")
	l.Submit("route-plan")
	_, rejection := l.Acquire(context.Background(), "route-plan")
	fmt.Println(rejection.Reason, rejection.RetryAfter)
	ticket.Release()
	fmt.Println(l.Counts("route-plan"))
	// Output:
	// queue-length 100ms
	// 2 0
}
