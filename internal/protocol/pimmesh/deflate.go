package pimmesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"github.com/samber/oops"
)

// MaxInflated is the largest size of inflated data in bytes.
const MaxInflated = 20 << 20

// deflaters holds unused writers, which take more memory than what they compress.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Deflate compresses data.
func Deflate(data []byte) (deflated []byte, err error) {
	defer func() { err = oops.In("pimmesh").Wrapf(err, "deflate") }()
	var buf bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&buf)
	if _, err = w.Write(data); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Inflate returns the data that Deflate compressed; the error is ErrMessage if they are damaged or exceed MaxInflated.
func Inflate(deflated []byte) (data []byte, err error) {
	defer func() { err = oops.In("pimmesh").Wrapf(err, "inflate") }()
	r := flate.NewReader(bytes.NewReader(deflated))
	if data, err = io.ReadAll(io.LimitReader(r, MaxInflated+1)); err != nil {
		return nil, errors.Join(ErrMessage, err)
	}
	if len(data) > MaxInflated {
		return nil, ErrMessage
	}
	return data, nil
}
