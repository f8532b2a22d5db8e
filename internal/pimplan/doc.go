// Package pimplan reports the effects of a change of contracts or fleet before the change is published.
package pimplan
