package pimroute

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimedge"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/pkg/pimtoken"
)

// ActionKind is what a VM does with a packet.
type ActionKind uint8

// The kinds of actions.
const (
	// Forward sends the datagram unchanged to the flow address of a backend server. The encapsulated packet must keep
	// the service address as its destination: if the flow address is reused before the change has reached all VMs, the
	// backend server there discards the packet because the destination is not its own.
	Forward ActionKind = iota + 1
	// Execute runs the request at this VM: a POST through pimonce, which prevents duplicates, a GET directly.
	Execute
	// Relay sends the packet to another VM with the hop count increased by one.
	Relay
	// Reply answers the caller.
	Reply
)

// Action is the decision about one packet. The caller owns it and reuses it for the next packet. It must not be copied
// while Reply.Token is in use, since that refers to memory inside the Action.
type Action struct {
	Kind ActionKind
	// Rule is the rule that determined the action.
	Rule Rule
	// Contract is the contract of the source; zero if there is none.
	Contract pimid.ContractID
	// Revision is the revision of the view that the decision is based on.
	Revision pimid.Revision
	// Token is the decoded token of the packet; zero if it has none or an invalid one.
	Token pimtoken.Token
	// Backend, Generation and Address identify the backend server of a Forward.
	Backend    pimid.BackendID
	Generation pimid.Generation
	Address    netip.AddrPort
	// Node is the target of a Relay.
	Node pimid.NodeID
	// Reply is the answer of a Reply. For Execute and Forward at most Reply.Token is set; the answer of an Execute must
	// carry it.
	Reply pimedge.Reply

	// tokenBuf holds the bytes of Reply.Token.
	tokenBuf [pimtoken.Size]byte
}
