package pimsettings

import (
	"net/netip"
	"time"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

// Default returns the values of the settings that a file does not set.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout: pimcontract.Duration(2 * time.Second),
			// Below the idle timeouts that are common in HTTP intermediaries, so that they don't cut idle long polls.
			PollTimeout: pimcontract.Duration(30 * time.Second),
		},
		// The operator interface has no authentication, so by default it is reachable from this machine only.
		Operator: Operator{Address: netip.MustParseAddrPort("127.0.0.1:9600")},
		Log:      Log{Level: "info"},
		Trace:    Trace{Exporter: "off", SampleRatio: 0.01},
		// Longer than the longest request of the contracts in deploy/.
		Drain: Drain{Timeout: pimcontract.Duration(30 * time.Second)},
		Limits: Limits{
			RequestsInFlight: 10_000,
			// A record lives for 300 s, so this allows 1,000 non-idempotent requests a second.
			RequestRecords:        300_000,
			BodyBytes:             1 << 20,
			ControlBytesPerSecond: 5_000,
			ControlBurstBytes:     256 << 10,
		},
	}
}
