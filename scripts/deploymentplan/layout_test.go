package main

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimplan"
)

// Guards against callers that count towards another contract because a longer prefix contains their address.
func TestSelects(t *testing.T) {
	is := is.New(t)
	pub, err := pimplan.ReadDir("../../deploy/jhankri_steps")
	is.NoErr(err)
	for _, tt := range []struct {
		address  string
		contract int
		want     bool
	}{
		{"127.200.0.1", 2, true},
		{"127.200.1.1", 2, false},
		{"127.200.1.1", 0, true},
		{"127.200.1.1", 3, true},
		{"127.200.1.1", 4, false},
		{"127.201.0.1", 2, false},
	} {
		is.Equal(selects(&pub, &pub.Contracts[tt.contract], netip.MustParseAddr(tt.address)), tt.want)
	}
}
