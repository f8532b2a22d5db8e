package pimedge

import (
	"errors"
	"strings"
	"testing"
)

// FuzzDecode guards against panics, errors other than DecodeError, and paths with ".." segments or unescaped characters,
// for any datagram.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := NewDecoder()
		p, err := d.Decode(1, source, raw)
		if err != nil {
			var bad *DecodeError
			if !errors.As(err, &bad) || bad.Cause == nil {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if p.Kind < KindFlow || p.Kind > KindGet || len(p.Token) > 40 || len(p.CoAPToken) > MaxCoAPToken {
			t.Fatalf("invalid packet %+v", p)
		}
		if p.Kind == KindFlow {
			return
		}
		path, _, _ := strings.Cut(p.Path, "?")
		if !strings.HasPrefix(path, "/") || strings.Contains(path+"/", "/../") || strings.ContainsAny(p.Path, " \r\n#") {
			t.Fatalf("unsafe path %q", p.Path)
		}
	})
}
