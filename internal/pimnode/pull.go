package pimnode

import (
	"context"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// pull fetches newer configuration from a peer that has announced it.
func (n *Node) pull(ctx context.Context) {
	ids := n.members.Ahead(n.store.Revision())
	if len(ids) == 0 {
		return
	}
	id := ids[n.rng.IntN(len(ids))]
	before := n.store.Revision()
	if err := n.pullFrom(ctx, id); err != nil {
		n.log.Debug().Stringer("vm", id).Err(err).Msg("configuration not pulled")
	}
	if n.store.Revision() > before {
		n.notifyChange()
	}
}

func (n *Node) pullFrom(ctx context.Context, id pimid.NodeID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer, err := n.peer(ctx, id)
	if err != nil {
		return err
	}
	for more := true; more; {
		req := n.puller.Request(pimconfig.DefaultPullBytes)
		reply, err := peer.PullConfig(ctx, req)
		if err != nil {
			return err
		}
		if more, err = n.puller.Accept(req, reply); err != nil {
			return err
		}
		// A reply without content means that the sender has spent its byte budget; the next round asks another VM.
		more = more && len(reply.GetChunkHashes())+len(reply.GetChunks())+len(reply.GetEvents()) > 0
	}
	return nil
}
