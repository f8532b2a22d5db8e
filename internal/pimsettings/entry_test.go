package pimsettings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against limits of admission that are no numbers or make no sense, against defaults that are not applied, and against whole numbers
// that are rejected.
func TestAdmissionSettings(t *testing.T) {
	good, err := os.ReadFile("../../cmd/pimentry/testdata/good.toml")
	is.New(t).NoErr(err)
	defaults := DefaultEntry().Admission
	cases := []struct {
		text   string
		want   EntryAdmission
		faults int
	}{
		{"", defaults, 0},
		{"queue_per_slot = 8", EntryAdmission{QueuePerSlot: 8, Reserve: defaults.Reserve}, 0},
		{"queue_per_slot = 0", EntryAdmission{Reserve: defaults.Reserve}, 0},
		{"queue_per_slot = 2.5\nreserve = 1", EntryAdmission{QueuePerSlot: 2.5, Reserve: 1}, 0},
		{"reserve = 0", EntryAdmission{QueuePerSlot: defaults.QueuePerSlot}, 0},
		{text: "queue_per_slot = -0.1\nreserve = 1.1", faults: 2},
		{text: "queue_per_slot = inf\nreserve = -0.1", faults: 2},
		{text: "queue_per_slot = nan\nreserve = nan", faults: 2},
		{text: "queue_per_slot = 1001", faults: 1},
		{text: "queue_per_host = 1", faults: 1},
	}
	for _, c := range cases {
		t.Run(strings.ReplaceAll(c.text, "\n", " "), func(t *testing.T) {
			is := is.New(t)
			s, faults := DecodeEntry("test.toml", fmt.Appendf(nil, "%s\n[admission]\n%s\n", good, c.text))
			is.Equal(len(faults), c.faults)
			if c.faults == 0 {
				is.Equal(s.Admission, c.want)
			}
		})
	}
}
