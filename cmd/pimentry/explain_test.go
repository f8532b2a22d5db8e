package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

// answering starts an operator server that gives one answer to the address of the tests.
func answering(t *testing.T, status int, answer []byte) (vm string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/explain" || r.URL.RawQuery != "address=198.18.0.1%3A443" {
			http.NotFound(w, r)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// run runs the command and compares its output with a golden file, in which the addresses of the VMs are VM1, VM2 and so on.
func runExplain(t *testing.T, name string, vms []string, wantCode int, args ...string) {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	args = append([]string{"explain"}, args...)
	for _, vm := range vms {
		args = append(args, "--vm", vm)
	}
	is.Equal(execute(append(args, "198.18.0.1:443"), &out, &out), wantCode)
	text := out.String()
	for i, vm := range vms {
		text = strings.ReplaceAll(text, vm, "VM"+string(rune('1'+i)))
	}
	file := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}

// Guards against unintended changes of the text for people, for each kind of explanation that a VM gives.
func TestExplainText(t *testing.T) {
	files, err := filepath.Glob("../../internal/pimentry/testdata/explain_*.golden")
	if err != nil || len(files) < 8 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".golden")
		t.Run(name, func(t *testing.T) {
			answer, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			runExplain(t, name, []string{answering(t, http.StatusOK, answer)}, pimcli.ExitOK)
		})
	}
}

// Guards against exit code 0 although a VM did not answer, against the loss of the other answers, and against names that change the
// terminal.
func TestExplainSeveralVMs(t *testing.T) {
	is := is.New(t)
	answer, err := os.ReadFile("../../internal/pimentry/testdata/explain_no_route.golden")
	is.NoErr(err)
	vms := []string{
		answering(t, http.StatusTooManyRequests, []byte("too many \x1b[2Jrequests\n")), answering(t, http.StatusOK, answer),
		answering(t, http.StatusOK, []byte("[")),
		answering(t, http.StatusOK, []byte(`{"name":"\u001b[2J","decisions":[{"action":"later","newer":1}],"newer":2}`)),
	}
	runExplain(t, "several_text", vms, pimcli.ExitFault)
	runExplain(t, "several_json", vms, pimcli.ExitFault, "--json")
	runExplain(t, "one_json", vms[1:2], pimcli.ExitOK, "--json")
}
