package pimplatform

import "io"

// maxNesting is the number of levels of a response that are decoded. A response has three, and no value needs more than a few.
const maxNesting = 64

// nestingReader replaces each array or object that is nested deeper than maxNesting by the number 0. The decoder refuses very
// deep nesting, so a single such value would make the whole response unreadable; now only its own entry is.
type nestingReader struct {
	r     io.Reader
	depth int
	// inString is set within a string, escaped after a backslash there.
	inString, escaped bool
}

// Read reads at least one byte of the shortened text unless an error occurs.
func (n *nestingReader) Read(p []byte) (kept int, err error) {
	for kept == 0 && err == nil && len(p) > 0 {
		var read int
		read, err = n.r.Read(p)
		kept = n.shorten(p[:read])
	}
	return kept, err
}

// shorten moves the bytes that are kept to the start of p and returns their number.
func (n *nestingReader) shorten(p []byte) (kept int) {
	for _, b := range p {
		isSkipped := n.depth > maxNesting
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.inString, n.escaped = b != '"', b == '\\'
		case b == '"':
			n.inString = true
		case b == '[' || b == '{':
			if n.depth++; n.depth == maxNesting+1 {
				b, isSkipped = '0', false
			}
		case b == ']' || b == '}':
			n.depth--
		}
		if !isSkipped {
			p[kept] = b
			kept++
		}
	}
	return kept
}
