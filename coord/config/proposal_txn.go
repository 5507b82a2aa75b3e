package config

import (
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// commitTxn returns the transaction that writes the change and advances the
// head. It also stores a snapshot every SnapshotEvery changes and deletes the
// change row that is no longer retained, if a snapshot covers it.
func (p *Proposal) commitTxn(head headRow) table.Txn {
	number := p.change.Number
	next := Head{Number: number, Token: p.change.Token, Snapshot: head.Snapshot}
	txn := table.Txn{
		Conditions: []table.Condition{
			{Key: HeadKey, Revision: head.revision},
			{Key: ChangeKey(number)},
		},
		Writes: []table.Write{{Key: ChangeKey(number), Value: encode(p.change)}},
	}
	if number%p.opts.SnapshotEvery == 0 {
		txn.Writes = append(txn.Writes, p.snapshotWrites(head.Snapshot)...)
		next.Snapshot = number
	}
	if number > p.opts.Retained && next.Snapshot > number-p.opts.Retained {
		txn.Writes = append(txn.Writes, table.Write{Key: ChangeKey(number - p.opts.Retained), Delete: true})
	}
	txn.Writes = append(txn.Writes, table.Write{Key: HeadKey, Value: encode(next)})
	return txn
}

// snapshotWrites stores a snapshot and deletes the old one, if any.
func (p *Proposal) snapshotWrites(old uint64) []table.Write {
	snapshot := Snapshot{Number: p.change.Number, Token: p.change.Token, Document: Normalize(p.opts.Target)}
	writes := []table.Write{{Key: SnapshotKey(snapshot.Number), Value: encode(snapshot)}}
	if old > 0 {
		writes = append(writes, table.Write{Key: SnapshotKey(old), Delete: true})
	}
	return writes
}

// cancelTxn returns a transaction that rewrites the head unchanged. Once it is
// applied, earlier transactions that depend on the head's previous revision can
// no longer take effect.
func cancelTxn(head headRow) table.Txn {
	return table.Txn{
		Conditions: []table.Condition{{Key: HeadKey, Revision: head.revision}},
		Writes:     []table.Write{{Key: HeadKey, Value: encode(head.Head)}},
	}
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: cannot encode a row, although it consists of plain values: %v", err))
	}
	return raw
}
