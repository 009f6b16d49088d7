//go:build !linux

package load

import "time"

func sleepPrecisely(d time.Duration) { time.Sleep(d) }
