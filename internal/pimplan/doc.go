// Package pimplan shows what a change of contracts or fleet would do before it is published.
package pimplan
