// Package pimfollow keeps the state of a VM up to date from a source that can be listed and watched by long polling.
package pimfollow
