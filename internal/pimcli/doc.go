// Package pimcli runs the subcommands of a program and turns their errors into texts and exit codes.
package pimcli
