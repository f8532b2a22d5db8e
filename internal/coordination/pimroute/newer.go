package pimroute

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// newerPeerCache is what the membership said about peers with a newer view in one second.
type newerPeerCache struct {
	unixNow  int64
	revision pimid.Revision
	node     pimid.NodeID
	ok       bool
}

// newerPeer asks the membership at most about once a second, because the question costs a pass over all members and bad
// tokens or a view that is not confirmed can cause it for every packet.
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
