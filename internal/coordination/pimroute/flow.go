package pimroute

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

const (
	// propagationBound is the time in seconds within which a change of the configuration reaches every VM (requirement
	// R8 of docs/design.md).
	propagationBound = int64(15)
	// openingWindow is the token age below which an observe packet belongs to the opening of its flow, which AdmitFlow
	// has counted already; later ones are refreshes, which callers send every 30 s.
	openingWindow = 15 * time.Second
)

func (d *decision) decideFlow() {
	t := &d.a.Token
	if d.isStale() && d.relayToNewer(RuleStaleRelay) {
		return
	}
	if t.CheckFlow(d.unixNow) != nil {
		d.replyNewToken(RuleFlowExpired)
		return
	}
	if t.Flags&pimtoken.FlagFlow == 0 {
		d.openFlow()
		return
	}
	b, ok := d.s.view.Backends[t.Backend]
	switch {
	case !ok:
		d.unknownBackend()
	case b.Generation != t.Generation:
		d.otherGeneration(&b)
	case b.Service != t.Service:
		d.reject(RuleBackendOtherService)
	case d.r.cfg.Hosts != nil && d.r.cfg.Hosts.Gone(t.Backend, t.Generation):
		d.backendGone()
	default:
		d.forward(&b)
		if d.p.Observe && t.FlowReissueDue(d.unixNow) {
			d.reissueFlow()
		}
	}
}

// forward sends the packet of an established flow to its backend server, even if that is leaving.
func (d *decision) forward(b *pimview.Backend) {
	t := &d.a.Token
	d.a.Kind, d.a.Rule = Forward, RuleEstablished
	d.a.Backend, d.a.Generation, d.a.Address = t.Backend, t.Generation, b.FlowAddress
	if d.p.Observe && !d.dryRun && t.Age(d.unixNow) >= openingWindow {
		d.r.cfg.Admitter.RefreshFlow(d.now, t.Contract)
	}
}

// reissueFlow answers a refresh with a new token for the same flow: a 2.03 response with an Echo value to use from now
// on (RFC 9175, section 2.3). The caller sends the refresh again, since the backend server did not answer it. Packets
// with flow data are never answered in this way, because the caller would assume that they were delivered.
func (d *decision) reissueFlow() {
	t := d.a.Token
	d.issue(&t)
	if len(d.a.Reply.Token) == 0 {
		return
	}
	d.a.Kind, d.a.Rule = Reply, RuleFlowReissue
	d.a.Reply.Outcome, d.a.Reply.Status = pimedge.OutcomeAnswered, pimedge.StatusNotModified
}

// openFlow places and admits a flow and answers with its token; the caller sends the message again with that token. It
// requires the token of an earlier reply, so a forged source address causes neither admission nor placement.
func (d *decision) openFlow() {
	if d.dryRun {
		refuse(d.a, d.p, RuleFlowOpened, pimedge.ReasonNoToken, 0)
		return
	}
	b, ok := d.place()
	if !ok {
		refuse(d.a, d.p, RuleNoBackend, pimedge.ReasonOverload, overloadRetryAfter)
		return
	}
	if ok, retry := d.r.cfg.Admitter.AdmitFlow(d.now, d.a.Contract); !ok {
		refuse(d.a, d.p, RuleFlowLimit, pimedge.ReasonFlowLimit, retry)
		return
	}
	refuse(d.a, d.p, RuleFlowOpened, pimedge.ReasonNoToken, 0)
	t := d.a.Token
	t.Flags |= pimtoken.FlagFlow
	t.Backend, t.Generation = b.ID, b.Generation
	d.issue(&t)
}

// place returns the backend server chosen by the placer, as it stands in this view. It fails if this view does not have
// it for the service, since the placer may use a newer view.
func (d *decision) place() (b pimview.Backend, ok bool) {
	id, ok := d.r.cfg.Placer.Place(d.now, d.p.Service)
	if !ok {
		return b, false
	}
	b, ok = d.s.view.Backends[id]
	return b, ok && b.Service == d.p.Service
}

// otherGeneration handles a token for an earlier or later generation of the backend server.
func (d *decision) otherGeneration(b *pimview.Backend) {
	if isNewer(d.a.Token.Generation, b.Generation) {
		d.viewBehind()
		return
	}
	d.backendGone()
}

// isNewer reports whether generation a is newer than b, in serial number arithmetic because generations wrap around.
func isNewer(a, b pimid.Generation) bool { return int16(a-b) > 0 }

// unknownBackend handles a token whose backend server is not in the view: it is gone, or the view is too old to contain
// it. The platform never reuses an id, so a backend server that an earlier view contained is gone. It is also gone if
// this view was confirmed more than propagationBound after the token was issued, since the view would contain it by
// then, and no peer has a newer view.
func (d *decision) unknownBackend() {
	if _, removed := d.s.removed[d.a.Token.Backend]; removed {
		d.backendGone()
		return
	}
	if int64(d.a.Token.IssuedAt)+propagationBound < d.s.confirmedAt && !d.hasNewerPeer() {
		d.backendGone()
		return
	}
	d.viewBehind()
}

func (d *decision) hasNewerPeer() bool {
	_, ok := d.newerPeer()
	return ok
}

func (d *decision) backendGone() {
	refuse(d.a, d.p, RuleBackendGone, pimedge.ReasonBackendGone, 0)
	d.issueRequestToken()
}

// viewBehind relays the packet to a peer with a newer view. If there is none, or the packet was relayed already, the
// caller has to retry.
func (d *decision) viewBehind() {
	if d.relayToNewer(RuleViewBehindRelay) {
		return
	}
	refuse(d.a, d.p, RuleViewBehind, pimedge.ReasonViewBehind, viewBehindRetryAfter)
}

// isStale reports whether this view was not confirmed for so long that it may lack changes in force. The address of a
// backend server may then belong to another service.
func (d *decision) isStale() bool { return d.unixNow-d.s.confirmedAt > propagationBound }

// relayToNewer relays the packet to a peer with a newer view. It returns false if there is none or the packet was
// relayed before.
func (d *decision) relayToNewer(rule Rule) bool {
	if d.p.Hops > 0 {
		return false
	}
	node, ok := d.newerPeer()
	if ok {
		d.a.Kind, d.a.Rule, d.a.Node = Relay, rule, node
	}
	return ok
}
