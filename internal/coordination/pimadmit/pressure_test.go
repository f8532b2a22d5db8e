package pimadmit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against urgent flows that wait for a place in an overload that lasts, and against ones that are refused for a single full moment.
func TestPressure(t *testing.T) {
	is := is.New(t)
	var p Pressure
	now := pimclock.Instant(time.Hour)
	record := func(flows int, isPlaced bool) {
		for range flows {
			now = now.Add(10 * time.Millisecond)
			p.Record(now, isPlaced)
		}
	}
	is.True(!p.IsHigh())
	record(1, false)
	is.True(!p.IsHigh()) // the first flow alone says nothing
	record(50, true)
	record(1, false)
	is.True(!p.IsHigh())
	record(5, false)
	is.True(p.IsHigh())
	record(80, true)
	is.True(!p.IsHigh()) // no trace is left
}
