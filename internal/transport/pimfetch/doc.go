// Package pimfetch calls an HTTP server whose responses may be held back and may be large, and measures each call.
package pimfetch
