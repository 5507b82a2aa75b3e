package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// output is what a caller was told of a key.
type output struct {
	kind  answerKind
	value string // of the run, unique to it
}

const (
	notRun    = ""
	ranUnseen = "?" // ran perhaps, nobody has seen the value
)

// onceModel is a key whose call runs at most once. Its state is the value of
// the run. A call that was told nothing certain may have run.
var onceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{notRun} },
	Step: func(state, _, out any) []any {
		o := out.(output)
		switch {
		case o.kind == answeredDone && o.value == omitted:
			if state == notRun {
				return []any{ranUnseen}
			}
			return []any{state}
		case o.kind == answeredDone && (state == notRun || state == ranUnseen || state == o.value):
			return []any{o.value}
		case o.kind == answeredNo && state == notRun:
			return []any{notRun}
		case o.kind == answeredUnknown || o.kind == answeredNothing:
			if state == notRun {
				return []any{notRun, ranUnseen}
			}
			return []any{state}
		}
		return nil
	},
}).ToModel()

const (
	sharedKeys    = 12
	sharedCallers = 3
)

// share lets several callers send each key at the same time through any VM,
// and returns the history of each key.
func (sc scenario) share(t *rapid.T) (*cluster, [][]porcupine.Operation) {
	c := sc.cluster(t)
	histories := make([][]porcupine.Operation, sharedKeys)
	for k := range sharedKeys {
		key := fmt.Sprintf("shared-%d", k)
		if sc.tickets {
			key = c.vms[k%len(c.vms)].state.IssueTicket(c.now).String()
		}
		for i := range sharedCallers {
			o := &order{c: c, id: i, key: key, request: key}
			o.record = func(_ *order, kind answerKind, started time.Time, value string) {
				histories[k] = append(histories[k], operation(c, len(histories[k]), kind, started, value))
			}
			c.after(time.Duration(k)*scenarioLength/2/sharedKeys+c.upTo(30*time.Millisecond), func() { o.begin(scenarioPatience) })
		}
	}
	c.disturb(scenarioLength)
	c.run(2 * scenarioLength)
	return c, histories
}

// operation is open to the end unless it was told something certain.
func operation(c *cluster, id int, kind answerKind, started time.Time, value string) porcupine.Operation {
	end := c.now
	if kind == answeredUnknown || kind == answeredNothing {
		end = epoch.Add(4 * scenarioLength)
	}
	return porcupine.Operation{
		ClientId: id, Call: started.UnixNano(), Return: end.UnixNano(), Output: output{kind, value},
	}
}

func illegal(histories [][]porcupine.Operation) int {
	n := 0
	for _, h := range histories {
		if !porcupine.CheckOperations(onceModel, h) {
			n++
		}
	}
	return n
}

func TestClaimsAreLinearizable(t *testing.T) {
	for _, tickets := range []bool{false, true} {
		done := 0
		rapid.Check(t, func(t *rapid.T) {
			_, histories := scenario{tickets: tickets}.share(t)
			assert.Equal(t, illegal(histories), 0)
			for _, h := range histories {
				for _, o := range h {
					if o.Output.(output).kind == answeredDone {
						done++
					}
				}
			}
		})
		t.Logf("tickets %v: %d answers", tickets, done)
		assert.Assert(t, done > 0)
	}
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		_, histories := scenario{tamperTxn: withoutConditions}.share(t)
		found += illegal(histories)
	})
	assert.Assert(t, found > 0, "a table without conditions went unnoticed")
}
