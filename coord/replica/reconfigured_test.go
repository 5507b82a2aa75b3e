package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against a configuration that ends the answers at a serving group: a head that
// is ordered to leave without having been closed drops them.
func TestConfigurationEndsNoServingGroup(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprint("takeover ", takeover, " model removed ", removed), func(t *testing.T) {
				w := newWorld(t, 1, 3)
				w.run(8 * time.Second)
				w.startTraffic()
				w.run(30 * time.Second)
				head := w.head(large)
				engine := testEngine()
				for i := range engine.Models {
					if engine.Models[i].Name != large {
						continue
					}
					engine.Models[i].GroupSize++
					if removed {
						engine.Models = append(engine.Models[:i:i], engine.Models[i+1:]...)
						break
					}
				}
				if takeover {
					w.takeover()
				}
				w.engine = engine
				w.p.Configure(engine, nil)
				formation, before := head.state.Formation(), head.state.Stage
				for end := w.now.Add(5 * time.Second); w.now.Before(end); w.now = w.now.Add(tick) {
					w.step()
					dropped := before == fleet.Open && head.state.Formation() != formation // a closed head stays in it
					assert.Assert(t, !dropped, "the head of %v left while it was open", formation)
					before = head.state.Stage
				}
			})
		}
	}
}
