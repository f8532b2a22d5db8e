package pimroute

// Rule identifies the routing rule that determined the action for a packet.
type Rule uint8

// The rules, roughly in the order in which they are checked.
const (
	// RuleNoView means that this VM has no view yet.
	RuleNoView Rule = iota
	// RuleNoContract means that no contract of the service covers the source address.
	RuleNoContract
	// RuleNoToken means that the packet has no token; the reply carries one.
	RuleNoToken
	// RuleTokenSize means that the token has a wrong length.
	RuleTokenSize
	// RuleUnknownKey means that the key of the token is not published.
	RuleUnknownKey
	// RuleUnknownKeyBehind means that the key is not in this view, but a peer has announced a newer revision.
	RuleUnknownKeyBehind
	// RuleRetiredKey means that the key of the token was retired too long ago.
	RuleRetiredKey
	// RuleBadMAC means that the token was not sealed with the key that it names.
	RuleBadMAC
	// RuleOtherService means that the token was issued for another service.
	RuleOtherService
	// RuleOtherContract means that the token was issued under another contract.
	RuleOtherContract
	// RuleStaleRelay means that this view was not confirmed for 15 s; the packet is relayed to a peer with a newer
	// view.
	RuleStaleRelay
	// RuleEstablished means that the packet is forwarded to the backend server named in its token.
	RuleEstablished
	// RuleFlowReissue means that the flow gets a new token because half of the lifetime of its token has passed.
	RuleFlowReissue
	// RuleFlowExpired means that the token of a flow packet or an idempotent request is older than pimtoken.FlowLifetime.
	RuleFlowExpired
	// RuleFlowOpened means that a new flow was admitted and placed.
	RuleFlowOpened
	// RuleFlowLimit means that the flow limit of the contract is reached.
	RuleFlowLimit
	// RuleNoBackend means that no backend server accepts a new flow.
	RuleNoBackend
	// RuleBackendOtherService means that the view assigns the backend server of the token to another service.
	RuleBackendOtherService
	// RuleBackendGone means that the backend server of the token, or this generation of it, has ended.
	RuleBackendGone
	// RuleViewBehindRelay means that the token may be newer than the view; the packet is relayed to a peer with a newer
	// view.
	RuleViewBehindRelay
	// RuleViewBehind means that the token may be newer than the view, and that no peer with a newer view is known or the
	// packet was relayed already.
	RuleViewBehind
	// RuleGet means that an idempotent request is executed here; any VM may run it.
	RuleGet
	// RuleNoTag means that a POST carries no request tag.
	RuleNoTag
	// RulePermitExpired means that the token no longer permits POST requests.
	RulePermitExpired
	// RuleHome means that a POST is executed here, at its home VM or the successor.
	RuleHome
	// RuleHomeRelay means that a POST is relayed to its home VM.
	RuleHomeRelay
	// RuleSuccessorRelay means that a POST is relayed to the successor of its home VM.
	RuleSuccessorRelay
	// RuleHomeLost means that no VM may run the POST: its home VM is lost without a live successor, or the packet was
	// relayed too often.
	RuleHomeLost
	// RuleNoSealingKey means that there is no key yet with which a token may be sealed.
	RuleNoSealingKey

	ruleCount
)

var ruleNames = [ruleCount]string{
	RuleNoView:              "no_view",
	RuleNoContract:          "no_contract",
	RuleNoToken:             "no_token",
	RuleTokenSize:           "token_size",
	RuleUnknownKey:          "unknown_key",
	RuleUnknownKeyBehind:    "unknown_key_behind",
	RuleRetiredKey:          "retired_key",
	RuleBadMAC:              "bad_mac",
	RuleOtherService:        "other_service",
	RuleOtherContract:       "other_contract",
	RuleStaleRelay:          "stale_relay",
	RuleEstablished:         "established",
	RuleFlowReissue:         "flow_reissue",
	RuleFlowExpired:         "flow_expired",
	RuleFlowOpened:          "flow_opened",
	RuleFlowLimit:           "flow_limit",
	RuleNoBackend:           "no_backend",
	RuleBackendOtherService: "backend_other_service",
	RuleBackendGone:         "backend_gone",
	RuleViewBehindRelay:     "view_behind_relay",
	RuleViewBehind:          "view_behind",
	RuleGet:                 "get",
	RuleNoTag:               "no_tag",
	RulePermitExpired:       "permit_expired",
	RuleHome:                "home",
	RuleHomeRelay:           "home_relay",
	RuleSuccessorRelay:      "successor_relay",
	RuleHomeLost:            "home_lost",
	RuleNoSealingKey:        "no_sealing_key",
}

// String returns the name of the rule in traces and metrics.
func (r Rule) String() string {
	if r >= ruleCount {
		return "unknown"
	}
	return ruleNames[r]
}
