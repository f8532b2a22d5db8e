package pimroute

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// newerPeerCache is the result of Members.NewerPeer for one view and one second.
type newerPeerCache struct {
	unixNow  int64
	revision pimid.Revision
	node     pimid.NodeID
	ok       bool
}

// newerPeer returns a peer with a newer view. It calls Members.NewerPeer about once a second at most, because each call
// iterates over all members, and invalid tokens or an unconfirmed view can cause one for every packet.
func (d *decision) newerPeer() (node pimid.NodeID, ok bool) {
	revision := d.s.view.Revision
	known := d.r.newerPeer.Load()
	if known == nil || known.unixNow != d.unixNow || known.revision != revision {
		known = &newerPeerCache{unixNow: d.unixNow, revision: revision}
		known.node, known.ok = d.r.cfg.Members.NewerPeer(revision)
		d.r.newerPeer.Store(known)
	}
	return known.node, known.ok
}
