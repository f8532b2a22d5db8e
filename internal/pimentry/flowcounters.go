package pimentry

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// maxFlowCounters bounds the counters by route, which stay until the VM ends: 300 take about 60 KB of memory and 30 KB of each scrape.
const maxFlowCounters = 300

// otherRoutes is the label of the routes beyond maxFlowCounters, whose counters are summed.
const otherRoutes = "other"

// maxRouteLabel is the longest name of a route in a label.
const maxRouteLabel = 64

// leastCost is the label of the rule for services without routes of different priorities.
const leastCost = "least_cost"

// flowCounters count the verdicts on opening packets by route and priority; they are used by the loop of the edge only.
type flowCounters struct {
	set *metrics.Set
	// home is the data centre of this VM.
	home     pimid.DataCentre
	counters map[flowCounterKey]*metrics.Counter
}

type flowCounterKey struct {
	// metric is the name, why the label that says why it was counted, with its name.
	metric, whyLabel, why string
	route                 string
	priority              pimcatalog.Priority
}

func newFlowCounters(set *metrics.Set, home pimid.DataCentre) *flowCounters {
	return &flowCounters{set: set, home: home, counters: map[flowCounterKey]*metrics.Counter{}}
}

// count counts a verdict on an opening packet.
func (c *flowCounters) count(v *pimsteer.Verdict) {
	if v.Route == nil {
		return
	}
	key := flowCounterKey{whyLabel: "reason", why: v.Reason.String(), route: v.Route.Name, priority: v.Route.Priority}
	switch {
	case v.Action == pimsteer.Reset:
		key.metric = "pimentoyard_flows_refused_total"
	case v.Action == pimsteer.Drop:
		key.metric = "pimentoyard_flows_delayed_total"
	case v.Host.DataCentre != c.home:
		key.metric, key.whyLabel, key.why = "pimentoyard_flows_sent_away_total", "rule", v.Rule
		if v.Rule == "" {
			key.why = leastCost
		}
	default:
		return
	}
	c.counter(key).Inc()
}

// counter returns the counter of a key; beyond maxFlowCounters, that of all other routes and priorities.
func (c *flowCounters) counter(key flowCounterKey) *metrics.Counter {
	counter := c.counters[key]
	if counter != nil {
		return counter
	}
	if len(c.counters) >= maxFlowCounters {
		key.route, key.priority = otherRoutes, 0
		if counter = c.counters[key]; counter != nil {
			return counter
		}
	}
	counter = c.set.GetOrCreateCounter(
		fmt.Sprintf("%s{route=%q,priority=\"%d\",%s=%q}", key.metric, routeLabel(key.route), key.priority, key.whyLabel, key.why),
	)
	c.counters[key] = counter
	return counter
}

// routeLabel returns a name that is valid in a label, whatever was published.
func routeLabel(name string) string {
	label := strings.Map(func(r rune) rune {
		if r == unicode.ReplacementChar || !unicode.IsPrint(r) || r == '"' || r == '\\' {
			return '_'
		}
		return r
	}, name)
	if runes := []rune(label); len(runes) > maxRouteLabel {
		label = string(runes[:maxRouteLabel])
	}
	return label
}
