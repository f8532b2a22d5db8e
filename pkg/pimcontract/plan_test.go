package pimcontract

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against plans that start or end at the wrong time: one second before and exactly at each boundary, across
// midnight and with an offset from UTC.
func TestTermsAt(t *testing.T) {
	hours := func(h float64) Duration { return Duration(h * float64(time.Hour)) }
	c := Contract{
		UTCOffset: hours(5.75),
		Terms:     Terms{Priority: 9},
		Plans: []Plan{
			{From: hours(6), To: hours(12), Terms: Terms{Priority: 1}},
			{From: hours(22), To: hours(2), Terms: Terms{Priority: 2}},
		},
	}
	for _, tt := range []struct {
		local string
		want  int
	}{
		{"05:59:59", 9},
		{"06:00:00", 1},
		{"11:59:59", 1},
		{"12:00:00", 9},
		{"21:59:59", 9},
		{"22:00:00", 2},
		{"00:00:00", 2},
		{"01:59:59", 2},
		{"02:00:00", 9},
	} {
		is := is.New(t)
		local, err := time.Parse(time.TimeOnly, tt.local)
		is.NoErr(err)
		at := local.AddDate(2026, 0, 0).Add(-5*time.Hour - 45*time.Minute)
		is.Equal(c.TermsAt(at).Priority, tt.want)                                 // terms at local time
		is.Equal(c.TermsAt(at.In(time.FixedZone("", -7*3600))).Priority, tt.want) // the zone of t does not matter
	}
}
