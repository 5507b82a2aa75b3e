package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// Guards against a stream that waits for a silent standby although a third endpoint could go on.
func TestSilentStandbyIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCrashSite(t, 1, 3)
		route := askRoute(true)
		route.MaxAttempts = 3
		s.reconfigure(2, []catalog.Route{route}, []catalog.Service{llmService(1)})
		ctx, cancel := context.WithCancel(t.Context())
		var ticks, silences sync.WaitGroup
		ticks.Go(func() { s.run(ctx) })
		time.Sleep(time.Second)
		silences.Go(func() { // of the first two endpoints that get the request
			silent := map[string]bool{}
			time.Sleep(300 * time.Millisecond)
			for len(silent) < 2 && ctx.Err() == nil {
				s.mu.Lock()
				for id, arrivals := range s.arrivals {
					if len(arrivals) > 0 && len(silent) < 2 {
						silent[id] = true
						s.silentUntil[id] = time.Now().Add(time.Minute)
					}
				}
				s.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
		status, events, err := s.ask(s.node(0))
		cancel()
		ticks.Wait()
		silences.Wait()
		assertWhole(t, status, events, err)
	})
}
