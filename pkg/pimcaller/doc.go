// Package pimcaller is the client library for callers of a service: it exchanges CoAP messages over one UDP socket,
// obtains tokens, retransmits datagrams until they are answered, keeps flows open and reports the outcome of each
// request.
//
// A VM issues a token in the Echo option of a 4.01 reply, and a new one in the Echo option of a later reply before it
// expires. The token is an opaque sealed value, which the caller returns in the Echo option of later messages.
//
// A backend server marks the messages of a flow with its flow identity in the ETag option. The identity is chosen when
// the flow is opened and is lost with the backend server's state, so a changed identity shows that the flow was broken.
package pimcaller
