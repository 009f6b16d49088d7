package attendant

import (
	"context"
	"time"
)

// repeatInterval is the shortest time after which a call to the endpoint without an answer is repeated, while the first one may still be answered. It is
// also the pause after a failed list request, so that a hanging endpoint gets no more of these than one that fails at once. The endpoint is on the
// same VM and answers within a few milliseconds. If it is slower, the time is longer: see callRepeatInterval and listRepeatInterval.
const repeatInterval = listRetryPause

// callUntilAnswered calls f at once and then each time that interval has passed, until one of the calls has returned or ctx is done. It returns the
// result of that call, or the error of ctx. The calls of f may be concurrent, must end when ctx is done, and may end after the return.
func callUntilAnswered(ctx context.Context, interval func() time.Duration, f func() error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error)
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for {
		go func() {
			err := f()
			select {
			case results <- err:
			case <-ctx.Done():
			}
		}()
		select {
		case err := <-results:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(interval())
		}
	}
}
