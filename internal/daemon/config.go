package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// stepConfig passes an event to the configuration's state machine and runs the
// effects. n.mu must be held.
func (n *Node) stepConfig(now time.Time, ev config.Event) {
	for _, effect := range n.config.Step(now, ev) {
		n.runConfig(now, effect)
	}
}

func (n *Node) runConfig(now time.Time, effect config.Effect) {
	switch e := effect.(type) {
	case config.ReadHead:
		n.spawn(func(ctx context.Context) { n.readHead(ctx) })
	case config.ReadChanges:
		n.spawn(func(ctx context.Context) { n.readChanges(ctx, e) })
	case config.ReadSnapshot:
		n.spawn(func(ctx context.Context) { n.readSnapshot(ctx, e) })
	case config.Fetch:
		n.spawn(func(ctx context.Context) { n.fetchConfig(ctx, e) })
	case config.SendDigest:
		n.sendTo(e.To, kindDigest, e.Digest, nil)
	case config.Adopted:
		n.adopt(now, e)
	case config.Conflict:
		n.log.Error("two sources disagree about the configuration", "number", e.Number, "from", e.From, "error", e.Err)
	}
}

// handleConfigRead passes the result of a platform read to the configuration's
// state machine.
func (n *Node) handleConfigRead(ev config.Event, err error) {
	n.locked(func(now time.Time) {
		if err != nil {
			n.log.Debug("reading the configuration failed", "error", err)
			n.stepConfig(now, config.ReadFailed{})
			return
		}
		n.stepConfig(now, ev)
	})
}

func (n *Node) readHead(ctx context.Context) {
	var head config.Head
	rows, err := n.platform.Get(ctx, config.HeadKey)
	if err == nil {
		err = decodeRow(rows[0], &head)
	}
	n.handleConfigRead(config.HeadRead{Head: head}, err)
}

// readChanges reads the changes up to the first one that can't be decoded. If there
// is none before it, the state machine reads a newer snapshot.
func (n *Node) readChanges(ctx context.Context, e config.ReadChanges) {
	var ev config.ChangesRead
	rows, err := n.platform.List(ctx, config.ChangePrefix, config.ChangeKey(e.After), e.Limit)
	for _, row := range rows {
		var c config.Change
		if err := decodeRow(row, &c); err != nil {
			n.log.Warn("a change of the configuration can't be read", "key", row.Key, "error", err)
			break
		}
		ev.Changes = append(ev.Changes, c)
	}
	n.handleConfigRead(ev, err)
}

func (n *Node) readSnapshot(ctx context.Context, e config.ReadSnapshot) {
	var ev config.SnapshotRead
	rows, err := n.platform.Get(ctx, config.SnapshotKey(e.Number))
	if err == nil {
		err = decodeRow(rows[0], &ev.Snapshot)
	}
	n.handleConfigRead(ev, err)
}

// decodeRow decodes a row's JSON value into v. A missing row leaves v
// unchanged.
func decodeRow(row platform.Row, v any) error {
	if row.Revision == 0 {
		return nil
	}
	return json.Unmarshal(row.Value, v)
}

func (n *Node) fetchConfig(ctx context.Context, e config.Fetch) {
	changes, snapshot, err := n.peers.FetchConfiguration(ctx, n.peerAddress(e.From), e.After)
	n.locked(func(now time.Time) {
		if err != nil {
			n.stepConfig(now, config.FetchFailed{From: e.From})
			return
		}
		n.stepConfig(now, config.Fetched{From: e.From, Snapshot: snapshot, Changes: changes})
	})
}

// adopt applies a new configuration to this node. n.mu must be held.
func (n *Node) adopt(now time.Time, e config.Adopted) {
	n.log.Info("configuration in force", "number", e.Number)
	doc := e.Document
	n.index = newIndex(e.Number, &doc, n.settings.DataCentre)
	n.admitAccounts(&doc)
	n.setClaimWriteRate()
	for _, vm := range n.index.entries {
		n.gossip.Seed(vm.Name, vm.DataCentre, vm.Address)
	}
	n.stepManager(now, group.Configuration{Number: e.Number, Document: &doc})
	n.removeUnknownEndpoints(now)
}
