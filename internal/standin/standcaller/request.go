package standcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/standin/standbackend"
	"github.com/pimentoyard/pimentoyard/pkg/pimcaller"
)

// request is one request; its answer must repeat the id, the method and the length of the body.
type request struct {
	id     string
	method string
	path   string
	body   []byte
}

// newRequest returns request n. Only sendLoop calls it, since the random generator is not safe for concurrent use.
func (r *run) newRequest(n int) *request {
	q := &request{id: fmt.Sprintf("%s%d-%d", r.cfg.Prefix, r.cfg.Seed, n), method: http.MethodGet}
	if r.rand.Float64() < r.cfg.PostShare {
		q.method = http.MethodPost
		q.body = bytes.Repeat([]byte{'x'}, r.cfg.BodyBytes)
	}
	separator := "?"
	if strings.Contains(r.cfg.Path, "?") {
		separator = "&"
	}
	q.path = fmt.Sprintf("%s%sid=%s", r.cfg.Path, separator, q.id)
	if r.cfg.AnswerBytes > 0 {
		q.path = fmt.Sprintf("%s&bytes=%d", q.path, r.cfg.AnswerBytes)
	}
	return q
}

// run sends the request and records its result. Its context is not that of the run, so that requests in flight at the
// end of the run still get their answers.
func (q *request) run(r *run) {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Timeout)
	defer cancel()
	start := time.Now()
	var res pimcaller.Result
	if q.method == http.MethodPost {
		res = r.caller.Post(ctx, q.path, q.body)
	} else {
		res = r.caller.Get(ctx, q.path)
	}
	matches := res.Outcome == pimcaller.Answered && q.matches(res.Body)
	if res.Outcome == pimcaller.Answered && !matches {
		r.cfg.Log.Error().Str("id", q.id).Bytes("body", res.Body).Msg("mismatched answer")
	}
	r.tally.recordRequest(res, matches, time.Since(start))
}

// matches reports whether the body is the complete answer to this request.
func (q *request) matches(body []byte) bool {
	var a standbackend.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	return a.ID == q.id && a.Method == q.method && a.BodyBytes == len(q.body)
}
