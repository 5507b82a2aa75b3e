package fleet

import "time"

// Warmth is what a VM says of itself in an answer.
type Warmth struct {
	// ColdLeft is how much longer the VM can take only little load, 0 if it is warm.
	ColdLeft time.Duration
	// Age is the time since the question was sent, if another node passes on the
	// answer.
	Age time.Duration `json:",omitempty"`
}

// ApplyWarmth applies what a start of a VM said of its warmth. The question was sent
// at the given time, less the answer's age. Answers to earlier questions than the
// newest one are ignored.
func (t *Table) ApplyWarmth(now, sent time.Time, id string, born int64, w Warmth) {
	vm := t.vms[id]
	saidAt := sent.Add(-max(0, w.Age))
	if vm == nil || vm.Born != born || !saidAt.After(vm.WarmSaidAt) || !saidAt.After(vm.ColdSaidAt) {
		return
	}
	t.changes++
	vm.ColdUntil = now.Add(max(0, w.ColdLeft))
	if w.ColdLeft > 0 {
		vm.ColdSaidAt = saidAt
		return
	}
	vm.WarmSaidAt = saidAt
}

// applyRowColdLeft applies what a row says of a VM's coldness. A row may have been
// written long ago, and only one with another time is certain to be news.
func (vm *VM) applyRowColdLeft(now time.Time, left time.Duration, restarted bool) {
	news := !restarted && left != vm.rowColdLeft
	vm.rowColdLeft = left
	if left <= 0 {
		return
	}
	vm.ColdUntil = now.Add(left)
	if news {
		vm.ColdSaidAt = now
	}
}

// warmthTTL is how long it is passed on that a VM is warm. A node that hears of it later
// asks by itself.
const warmthTTL = 5 * time.Second

// warmth returns what the VM has said of its warmth lately, to be passed on, or nil if it
// hasn't.
func (vm *VM) warmth(now time.Time) *Warmth {
	switch {
	case vm.WarmSaidAt.After(vm.ColdSaidAt):
		if now.Sub(vm.WarmSaidAt) > warmthTTL {
			return nil
		}
		return &Warmth{Age: now.Sub(vm.WarmSaidAt)}
	case vm.ColdSaidAt.IsZero() || !now.Before(vm.ColdUntil):
		return nil
	}
	return &Warmth{ColdLeft: vm.ColdUntil.Sub(now), Age: now.Sub(vm.ColdSaidAt)}
}

// Report returns the VM's newest report, to be passed on at the given time.
func (vm *VM) Report(now time.Time) Report {
	return Report{State: vm.State, Load: vm.Load, Warmth: vm.warmth(now)}
}
