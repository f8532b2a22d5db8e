// Package pimcaller is the caller's library: it speaks CoAP over one UDP socket, obtains tokens, repeats datagrams until
// they are answered, keeps flows open and reports what is known about each request.
//
// A backend server marks the messages of a flow with its flow identity in the ETag option. The identity is chosen when
// the flow is opened and is lost with the backend server's state, so a change shows that the flow was broken.
package pimcaller
