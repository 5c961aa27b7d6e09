package clock

import (
	"context"
	"time"
)

// Every calls f each time that period has passed, until ctx ends. It does not call f while
// an earlier call lasts.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
