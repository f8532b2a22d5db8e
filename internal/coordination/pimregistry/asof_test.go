package pimregistry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
)

// Guards against a view that counts as current although the platform has answered long ago: the VM stood still while the answer arrived,
// and its neighbours used a dropped route since they took its age (review/7).
func TestAnswerThatWaitedForTheVMIsOld(t *testing.T) {
	const (
		sent  = pimclock.Instant(time.Hour)
		hold  = 1200 * time.Millisecond
		drift = hold / clockDriftDivisor
	)
	unchanged := Batch{From: 10, To: 10, SentAt: sent, Hold: hold}
	changed := Batch{From: 10, To: 12, SentAt: sent, Hold: hold}
	for name, tc := range map[string]struct {
		batch     Batch
		handledIn time.Duration
		want      pimclock.Instant
	}{
		"held back":                 {unchanged, hold + time.Millisecond, sent.Add(hold - drift)},
		"held back, handled late":   {unchanged, hold + 3*time.Second, sent.Add(hold - drift)},
		"held back by a fast clock": {unchanged, hold - drift, sent.Add(hold - drift)},
		"answered early":            {unchanged, hold / 2, sent},
		"changes":                   {changed, hold, sent},
		"changes, handled late":     {changed, hold + 3*time.Second, sent},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.batch.AnsweredAt = sent.Add(tc.handledIn)
			is.Equal(tc.batch.AsOf(), tc.want)
		})
	}
}

// Guards against a pause of the VM between the end of a read and its use, which made the view count as current as of the end of the pause.
func TestPauseBeforeAReadIsRecordedCounts(t *testing.T) {
	is := is.New(t)
	const pause = 2 * time.Second
	clock := &pimclock.Manual{}
	r := startedRegistry(t, clock)
	clock.Advance(time.Minute)
	b := Batch{From: r.Revision(), To: r.Revision() + 1, SentAt: clock.Now()}
	clock.Advance(pause)
	r.ReadSucceeded(b.AsOf())
	is.NoErr(r.Apply(b))
	is.Equal(r.Revision(), b.To)
	is.Equal(r.Age(clock.Now()), pause)
}
