// Package pimpb holds the generated messages and drpc services that VMs exchange.
package pimpb
