// Package pimsteer decides what happens to each packet of an opaque flow: forward, reset or drop.
package pimsteer
