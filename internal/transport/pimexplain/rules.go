package pimexplain

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimroute"
)

// RegisterRuleMetrics adds one metric `pimentoyard_route_total` per routing rule to the set. The router does not count
// established flows, so their metric belongs to the transport.
func RegisterRuleMetrics(set *metrics.Set, count func(pimroute.Rule) uint64) {
	for _, rule := range pimroute.Rules() {
		if rule == pimroute.RuleEstablished {
			continue
		}
		name := fmt.Sprintf(`pimentoyard_route_total{rule=%q}`, rule)
		set.NewGauge(name, func() float64 { return float64(count(rule)) })
	}
}
