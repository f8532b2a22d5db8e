package standplatform

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against a TOML file, a JSON file and a directory with the same content that load differently.
func TestLoadFormsAreEqual(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	paths := []string{
		write("all.toml", "[services.1]\nid = 1\nname = \"matchroom\"\n[[vms]]\nid = 4\ndata_centre = \"lekki\"\n"),
		write("all.json", `{"services":{"1":{"id":1,"name":"matchroom"}},"vms":[{"id":4,"data_centre":"lekki"}]}`),
	}
	write("tree/services/1.toml", "id = 1\nname = \"matchroom\"\n")
	write("tree/vms/4.json", `{"id":4,"data_centre":"lekki"}`)
	for _, path := range append(paths, filepath.Join(dir, "tree")) {
		s, err := Load(path)
		is.NoErr(err)
		_, keys := s.Entries()
		is.Equal(len(keys), 1)
		is.Equal(keys[0].Key, "services/1")
		is.Equal(string(keys[0].Value), `{"id":1,"name":"matchroom"}`)
		_, vms := s.VMs()
		is.Equal(vms, []pimview.Node{{ID: 4, DataCentre: "lekki"}})
	}
	for _, text := range []string{"colour = 1\n", "[services"} {
		_, err := Load(write("bad.toml", text))
		is.True(err != nil)
	}
}

// Guards against operator calls without effect, and against a stale mode that serves later changes.
func TestAdminAndModes(t *testing.T) {
	is := is.New(t)
	s := NewServer(NewState(), time.Millisecond)
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	for _, step := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"PUT", "/admin/keys/services/1", `{"id":1}`, 200, `{"revision":1}`},
		{"PUT", "/admin/keys/services/1", `{`, 400, "value is not valid JSON, or is larger than 1 MiB"},
		{"PUT", "/admin/mode", `{"stale":true}`, 204, ""},
		{"PUT", "/admin/keys/services/2", `{"id":2}`, 200, `{"revision":2}`},
		{"GET", "/v1/keys", "", 200, `{"keys":[{"key":"services/1","revision":1,"value":{"id":1}}],"revision":1}`},
		{"GET", "/v1/watch?from=2", "", 200, `{"events":[],"revision":1}`},
		{"PUT", "/admin/mode", `{"down":true}`, 204, ""},
		{"GET", "/v1/keys", "", 503, "down"},
		{"PUT", "/admin/mode", `{"colour":1}`, 400, "body is not a valid mode"},
		{"PUT", "/admin/mode", `{}`, 204, ""},
		{"DELETE", "/admin/keys/services/1", "", 200, `{"revision":3}`},
		{"GET", "/v1/watch?from=2", "", 200, `{"events":[{"revision":3,"key":"services/1","deleted":true}],"revision":3}`},
		{"GET", "/v1/watch?from=x", "", 400, "from is not a revision"},
		{"PUT", "/admin/vms/4", `{"id":4,"data_centre":"apapa","state":"live"}`, 204, ""},
		{"PUT", "/admin/vms/5", `{"id":4}`, 400, "body is not a valid VM, or its id differs from the id in the path"},
		{"DELETE", "/admin/vms/4", "", 204, ""},
		{"GET", "/v1/vms", "", 200, `{"version":2,"vms":[]}`},
		{"GET", "/admin/calls", "", 200, `{"keys":2,"watch":3,"vms":1,"admin":12,"pending_watches":0}`},
	} {
		code, got := call(step.method, step.path, step.body)
		is.Equal(code, step.code)
		is.Equal(got, step.want)
	}
	s.state.Compact()
	code, _ := call("GET", "/v1/watch?from=1", "")
	is.Equal(code, http.StatusGone)
}

// Guards against a watch that returns other events than those after its revision, whichever revision it starts from.
func TestSinceReturnsExactlyLaterEvents(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for range logLimit + 10 {
		s.Put("k", []byte(`1`))
	}
	for _, from := range []pimid.Revision{10, 11, 500, logLimit + 10} {
		to, events, _, ok := s.Since(from)
		is.True(ok)
		is.Equal(pimid.Revision(len(events)), to-from)
	}
	_, _, _, ok := s.Since(9)
	is.True(!ok)
}
