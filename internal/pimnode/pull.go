package pimnode

import (
	"context"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// pull fetches newer configuration from peers that have announced it, until the syncer returns no further request.
func (n *Node) pull(ctx context.Context) {
	for ctx.Err() == nil {
		id, req, ok := n.syncer.Next(n.clock.Now(), n.members.Ahead(n.store.Revision()))
		if !ok {
			return
		}
		reply, failure := n.callPull(ctx, id, req)
		changed, err := n.syncer.Done(n.clock.Now(), id, req, reply, failure)
		if changed {
			n.notifyChange()
		}
		if failure != nil || err != nil {
			n.log.Debug().Stringer("vm", id).AnErr("call", failure).Err(err).Msg("configuration not pulled")
		}
	}
}

func (n *Node) callPull(
	ctx context.Context, id pimid.NodeID, req *pimpb.PullConfigRequest,
) (*pimpb.PullConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pimconfig.PullTimeout)
	defer cancel()
	peer, err := n.peer(ctx, id)
	if err != nil {
		return nil, err
	}
	return peer.PullConfig(ctx, req)
}
