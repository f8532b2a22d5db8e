// Package pimtoken seals and opens the tokens that let any VM route any packet of a flow without stored state.
// Sealing authenticates a token with a MAC; the content is not encrypted.
package pimtoken
