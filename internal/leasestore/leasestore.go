// Package leasestore executes the reads and writes of the lease state machine
// on the platform's table.
package leasestore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/table"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// maxCandidates is the maximum number of registrations read for one lease.
const maxCandidates = 256

// Read reads the lease row and the registrations that e requests in one
// snapshot. If e.VMs is set, it first lists the VMs. It fails if the table comes
// back from an older copy meanwhile.
func Read(ctx context.Context, t platform.Table, e lease.ReadRows) (lease.RowsRead, error) {
	era := eraOf(t)
	ev, err := read(ctx, t, era, e)
	ev.Era = eraOf(t)
	if err == nil && !sharesRows(era, ev.Era) {
		err = fmt.Errorf("%w: the table came back from an older copy", platform.ErrUnavailable)
	}
	return ev, err
}

// read reads the rows of an era.
func read(ctx context.Context, t platform.Table, era uint64, e lease.ReadRows) (lease.RowsRead, error) {
	ev := lease.RowsRead{Read: e.ID}
	e.Key, e.Own = eraKey(era, e.Key), eraKey(era, e.Own)
	if e.VMs {
		vms, err := t.VMs(ctx)
		if err != nil {
			return ev, err
		}
		ev.VMsKnown = true
		for _, vm := range vms {
			ev.VMs = append(ev.VMs, vm.Name)
		}
	}
	rows, err := readRows(ctx, t, e)
	if err != nil {
		return ev, err
	}
	return decodeRows(ev, e.Key, rows)
}

// readRows reads the lease row with all registrations if e.All is set, and with
// only the candidate's own registration otherwise.
func readRows(ctx context.Context, t platform.Table, e lease.ReadRows) ([]platform.Row, error) {
	if e.All {
		return t.List(ctx, e.Key, "", 1+maxCandidates)
	}
	return t.Get(ctx, e.Key, e.Own)
}

// decodeRows adds the decoded rows to ev. Rows with revision 0 don't exist.
func decodeRows(ev lease.RowsRead, key string, rows []platform.Row) (lease.RowsRead, error) {
	for _, row := range rows {
		if row.Revision == 0 {
			continue
		}
		if row.Key == key {
			ev.Row = &lease.Row{}
			ev.Revision = row.Revision
			if err := json.Unmarshal(row.Value, ev.Row); err != nil {
				return ev, err
			}
			continue
		}
		reg := lease.Registration{Revision: row.Revision}
		if err := json.Unmarshal(row.Value, &reg.Candidate); err != nil {
			return ev, err
		}
		ev.Registrations = append(ev.Registrations, reg)
	}
	return ev, nil
}

// Write writes the lease row and returns the outcome. What was written in an era that
// has ended meanwhile grants no lease, so that its outcome is unknown.
func Write(ctx context.Context, t platform.Table, e lease.WriteRow) lease.WriteAnswered {
	revision, err := Commit(ctx, t, eraKey(e.Era, e.Key), e.Revision, e.Row)
	outcome := outcomeOf(err)
	if !sharesRows(e.Era, eraOf(t)) {
		outcome = lease.Unknown
	}
	return lease.WriteAnswered{Token: e.Row.Token, Outcome: outcome, Revision: revision}
}

// outcomeOf maps an error of Commit to the outcome of the write.
func outcomeOf(err error) lease.Outcome {
	switch platform.OutcomeOf(err) {
	case table.Applied:
		return lease.Applied
	case table.Conflict:
		return lease.Conflict
	case table.NotWritten:
		return lease.NotWritten
	}
	return lease.Unknown
}

// Register writes a candidate's registration.
func Register(ctx context.Context, t platform.Table, e lease.RegisterCandidate) error {
	_, err := Commit(ctx, t, eraKey(e.Era, e.Key), e.Revision, e.Candidate)
	return err
}

// Remove deletes a candidate's registration.
func Remove(ctx context.Context, t platform.Table, e lease.RemoveCandidate) error {
	_, err := t.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: eraKey(e.Era, e.Key), Revision: e.Revision}},
		Writes:     []platform.Write{{Key: eraKey(e.Era, e.Key), Delete: true}},
	})
	return err
}

// Commit writes one row as JSON on condition that it is at the revision. It
// returns the new revision.
func Commit(ctx context.Context, t platform.Table, key string, revision uint64, value any) (uint64, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %s", platform.ErrUnavailable, err.Error())
	}
	return t.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: raw}},
	})
}
