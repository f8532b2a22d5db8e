package pimmesh

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against compressed data that are damaged or that use all memory when they are inflated.
func TestInflate(t *testing.T) {
	is := is.New(t)
	data := bytes.Repeat([]byte("route to order-desk "), 1000)
	for range 2 { // the second time with a used writer
		deflated, err := Deflate(data)
		is.NoErr(err)
		is.True(len(deflated) < len(data)/20)
		inflated, err := Inflate(deflated)
		is.NoErr(err)
		is.True(bytes.Equal(inflated, data))
		_, err = Inflate(deflated[:len(deflated)/2])
		is.True(errors.Is(err, ErrMessage))
	}
	bomb, err := Deflate(make([]byte, MaxInflated+1))
	is.NoErr(err)
	_, err = Inflate(bomb)
	is.True(errors.Is(err, ErrMessage))
	_, err = Inflate([]byte("\xff\xff"))
	is.True(errors.Is(err, ErrMessage))
}
