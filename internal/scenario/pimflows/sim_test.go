package pimflows

import (
	"testing"

	"github.com/matryer/is"
)

func planned() Config {
	return Config{
		Seed: 1, VMs: 24, Hosts: 24, Flows: 4000, Seconds: 300, MaxViewDelay: 14, ChangeEvery: 60, ReuseAfter: 15,
	}
}

// Guards against flows that break although their backend server has not died, packets that reach a backend server of
// another service, and forwarded packets with forged tokens. The baselines must break flows, which shows that the
// scenario is hard enough.
func TestBrokenFlows(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
	}{
		{"planned", func(*Config) {}},
		{"planned, one VM stuck", func(c *Config) { c.Stuck = true }},
		{"planned, callers silent for 12 h", func(c *Config) { c.Idle = 12 * 3600 }},
		{"deaths", func(c *Config) { c.Deaths = true }},
		{"deaths, address reused at once", func(c *Config) { c.Deaths, c.ReuseAfter = true, 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cfg := planned()
			c.change(&cfg)
			r := Run(cfg)
			t.Logf("%+v", r)
			is.Equal(r.BrokenPlanned, 0)
			is.Equal(r.BrokenDeath > 0, cfg.Deaths)
			is.Equal(r.Accepted, 0)
			is.True(r.Attacks > 0)
			is.True(r.Opened >= cfg.Flows)
			is.Equal(r.Reissued > 0, cfg.Idle > 0)
			if cfg.ReuseAfter > cfg.MaxViewDelay {
				is.Equal(r.Misrouted, 0)
			}
			is.True(r.Rendezvous > 0 && r.Maglev > 0 && r.Stateful > 0)
		})
	}
}
