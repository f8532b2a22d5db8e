package pimsettings

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// render returns the settings template with values for its fields; without evacuateMs, that bound is missing.
func render(t *testing.T, evacuateMs string) string {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile("../../deploy/entry.toml.tmpl")
	is.NoErr(err)
	text := string(data)
	if evacuateMs == "" {
		text = regexp.MustCompile(`(?s)\{\{#bounds\.evacuate_ms\}\}.*\{\{/bounds\.evacuate_ms\}\}`).ReplaceAllString(text, "")
	}
	text = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`).ReplaceAllString(text, "")
	return strings.NewReplacer(
		"{{#bounds.evacuate_ms}}", "", "{{/bounds.evacuate_ms}}", "", "{{bounds.evacuate_ms}}", evacuateMs,
		"{{bounds.config_apply_ms}}", "15000", "{{node_name|json}}", `"vm-1"`, "{{zone|json}}", `"ikeja"`,
		"{{listen.datagram_addr|json}}", `"127.0.0.1:8172"`, "{{listen.readiness_addr|json}}", `"127.0.0.1:8167"`,
		"{{platform.address|json}}", `"127.0.0.1:8169"`, "{{ip}}:{{port_range.0}}", "127.0.0.1:7720", "{{listen.admin|json}}", `"127.0.0.1:8166"`,
	).Replace(text)
}

// Guards against a template whose settings a VM refuses, with or without the bound of an evacuation, and against a view that is
// confirmed too late for the shorter one of two bounds.
func TestEntryTemplate(t *testing.T) {
	for evacuateMs, want := range map[string]time.Duration{"": 15 * time.Second, "5000": 5 * time.Second, "20000": 15 * time.Second} {
		is := is.New(t)
		s, faults := DecodeEntry("entry.toml", []byte(render(t, evacuateMs)))
		is.NoErr(faults.Err())
		is.Equal(s.Platform.ConfirmWithin(), want)
	}
}
