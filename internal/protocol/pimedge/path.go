package pimedge

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
)

// timeoutParameter is the query parameter with the time that the caller allows, in milliseconds.
const timeoutParameter = "timeout_ms"

// pathOf builds the request path with its query; the timeout is removed from the query and returned.
func pathOf(options message.Options) (path string, timeout time.Duration, err error) {
	var p, q strings.Builder
	for i := range options {
		value := string(options[i].Value)
		switch options[i].ID {
		case message.URIPath:
			err = addSegment(&p, value)
		case message.URIQuery:
			timeout, err = addQuery(&q, value, timeout)
		}
		if err != nil {
			return "", 0, err
		}
	}
	if p.Len() == 0 {
		p.WriteByte('/')
	}
	p.WriteString(q.String())
	return p.String(), timeout, nil
}

// addSegment rejects dot segments: RFC 7252 forbids them, and a backend server could resolve them to a path outside of
// the addressed tree.
func addSegment(p *strings.Builder, segment string) error {
	if segment == "." || segment == ".." {
		return ErrOption
	}
	p.WriteByte('/')
	p.WriteString(url.PathEscape(segment))
	return nil
}

func addQuery(q *strings.Builder, parameter string, timeout time.Duration) (time.Duration, error) {
	key, value, hasValue := strings.Cut(parameter, "=")
	if key == timeoutParameter {
		return parseTimeout(value, timeout)
	}
	separator := byte('&')
	if q.Len() == 0 {
		separator = '?'
	}
	q.WriteByte(separator)
	q.WriteString(url.QueryEscape(key))
	if hasValue {
		q.WriteByte('=')
		q.WriteString(url.QueryEscape(value))
	}
	return timeout, nil
}

func parseTimeout(value string, previous time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 || previous != 0 {
		return 0, ErrTimeout
	}
	return time.Duration(ms) * time.Millisecond, nil
}
