package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// output is the answer that a caller got for a key.
type output struct {
	kind  answerKind
	value string // unique to the run
}

const (
	notRun          = ""
	ranUnknownValue = "?" // may have run; no caller has seen its value
)

// atMostOnceModel models a key whose call runs at most once. Its state is the value
// of the run. A call without an answer, or answered "unknown", may have run.
var atMostOnceModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{notRun} },
	Step: func(state, _, out any) []any {
		o := out.(output)
		switch {
		case o.kind == answeredOutcome && o.value == omittedBody:
			if state == notRun {
				return []any{ranUnknownValue}
			}
			return []any{state}
		case o.kind == answeredOutcome && (state == notRun || state == ranUnknownValue || state == o.value):
			return []any{o.value}
		case o.kind == answeredNotRun && state == notRun:
			return []any{notRun}
		case o.kind == answeredUnknown || o.kind == unanswered:
			if state == notRun {
				return []any{notRun, ranUnknownValue}
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

// runSharedKeys runs several callers per key at the same time, each through any VM,
// and returns the history of each key.
func (sc scenario) runSharedKeys(t *rapid.T) (*cluster, [][]porcupine.Operation) {
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
			c.after(time.Duration(k)*scenarioLength/2/sharedKeys+c.randDuration(30*time.Millisecond), func() { o.start(scenarioTimeout) })
		}
	}
	c.injectFailures(scenarioLength)
	c.run(2 * scenarioLength)
	return c, histories
}

// operation returns a call as an operation of the history. Unless its answer is
// certain, it stays open until after the end of the run.
func operation(c *cluster, id int, kind answerKind, started time.Time, value string) porcupine.Operation {
	end := c.now
	if kind == answeredUnknown || kind == unanswered {
		end = epoch.Add(4 * scenarioLength)
	}
	return porcupine.Operation{
		ClientId: id, Call: started.UnixNano(), Return: end.UnixNano(), Output: output{kind, value},
	}
}

// countViolations returns the number of histories that violate atMostOnceModel.
func countViolations(histories [][]porcupine.Operation) int {
	n := 0
	for _, h := range histories {
		if !porcupine.CheckOperations(atMostOnceModel, h) {
			n++
		}
	}
	return n
}

// TestClaimsAreLinearizable checks the histories of shared keys against
// atMostOnceModel, and that the check fails for a table that ignores conditions.
func TestClaimsAreLinearizable(t *testing.T) {
	for _, tickets := range []bool{false, true} {
		done := 0
		rapid.Check(t, func(t *rapid.T) {
			_, histories := scenario{tickets: tickets}.runSharedKeys(t)
			assert.Equal(t, countViolations(histories), 0)
			for _, h := range histories {
				for _, o := range h {
					if o.Output.(output).kind == answeredOutcome {
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
		_, histories := scenario{tamperTxn: withoutConditions}.runSharedKeys(t)
		found += countViolations(histories)
	})
	assert.Assert(t, found > 0, "a table that ignores conditions was not detected")
}
