// Package pimfollow keeps the state of a VM up to date from a source that can be listed and watched.
package pimfollow
