// Package pimcli runs the subcommands of a program and turns their errors into messages and exit codes.
package pimcli
