package pimexplain

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
)

// RegisterRuleMetrics adds the metric `pimentoyard_route_total` of each routing rule to the set, except for
// RuleEstablished: the router does not count packets of established flows; pimudp.Counters.Forwarded includes them.
func RegisterRuleMetrics(set *metrics.Set, count func(pimroute.Rule) uint64) {
	for _, rule := range pimroute.Rules() {
		if rule == pimroute.RuleEstablished {
			continue
		}
		name := fmt.Sprintf(`pimentoyard_route_total{rule=%q}`, rule)
		set.NewGauge(name, func() float64 { return float64(count(rule)) })
	}
}
