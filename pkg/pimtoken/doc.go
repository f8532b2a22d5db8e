// Package pimtoken seals and opens the tokens that let any VM route any packet of a flow without stored state.
package pimtoken
