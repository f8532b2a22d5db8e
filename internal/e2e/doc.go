// Package e2e holds tests that run VMs as processes and stop, kill and pause them with signals.
package e2e
