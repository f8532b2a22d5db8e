package pimentry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// page returns the metrics page.
func page(set *metrics.Set) string {
	var text strings.Builder
	set.WritePrometheus(&text)
	return text.String()
}

// Guards against verdicts that are counted as others, and against packets of open flows or of no route that are counted.
func TestFlowCounters(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	c := newFlowCounters(set, "ikeja")
	route := &pimcatalog.Route{Name: "desk-east", Priority: 2}
	home, away := &pimcatalog.Host{DataCentre: "ikeja"}, &pimcatalog.Host{DataCentre: "apapa"}
	for _, v := range []pimsteer.Verdict{
		{Action: pimsteer.Reset, Reason: pimsteer.ReasonNoRoom, Route: route, Rule: "no_room"},
		{Action: pimsteer.Reset, Reason: pimsteer.ReasonNoRoom, Route: route, Rule: "no_room"},
		{Action: pimsteer.Drop, Reason: pimsteer.ReasonNoRoom, Route: route, Rule: "no_room"},
		{Action: pimsteer.Forward, Reason: pimsteer.ReasonPlaced, Route: route, Rule: "other_data_centre", Host: away},
		{Action: pimsteer.Forward, Reason: pimsteer.ReasonPlaced, Route: route, Host: away},
		{Action: pimsteer.Forward, Reason: pimsteer.ReasonPlaced, Route: route, Rule: "own_slot", Host: home},
		{Action: pimsteer.Reset, Reason: pimsteer.ReasonNoRoute},
		{Action: pimsteer.Forward, Reason: pimsteer.ReasonEstablished, Host: away},
	} {
		c.count(&v)
	}
	is.Equal(page(set), `pimentoyard_flows_delayed_total{route="desk-east",priority="2",reason="no_room"} 1
pimentoyard_flows_refused_total{route="desk-east",priority="2",reason="no_room"} 2
pimentoyard_flows_sent_away_total{route="desk-east",priority="2",rule="least_cost"} 1
pimentoyard_flows_sent_away_total{route="desk-east",priority="2",rule="other_data_centre"} 1
`)
}

// Guards against metrics without bound where thousands of routes are refused, and against refusals that are then not counted.
func TestFlowCountersAreBounded(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	c := newFlowCounters(set, "ikeja")
	const routes = 9000
	for i := range routes {
		route := &pimcatalog.Route{Name: fmt.Sprintf("route-%d", i), Priority: pimcatalog.Priority(i)}
		c.count(&pimsteer.Verdict{Action: pimsteer.Reset, Reason: pimsteer.ReasonNoRoom, Route: route})
	}
	text := page(set)
	is.Equal(strings.Count(text, "\n"), maxFlowCounters+1)
	other := fmt.Sprintf("pimentoyard_flows_refused_total{route=%q,priority=\"0\",reason=\"no_room\"} %d\n", otherRoutes, routes-maxFlowCounters)
	is.True(strings.Contains(text, other))
}

// Guards against a metrics page that cannot be read, and against a panic, because of the published name of a route.
func TestRouteNamesInLabels(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	c := newFlowCounters(set, "ikeja")
	for _, name := range []string{"", `a"b`, "a\nb", `a\b`, "\x00\xff", strings.Repeat("é", 200), "{}", "a,b=c"} {
		c.count(&pimsteer.Verdict{Action: pimsteer.Reset, Reason: pimsteer.ReasonNoRoom, Route: &pimcatalog.Route{Name: name}})
	}
	for line := range strings.Lines(page(set)) {
		is.True(strings.HasPrefix(line, `pimentoyard_flows_refused_total{route="`))
		is.Equal(strings.Count(line, `"`), 6)
		is.True(!strings.Contains(line, `\`))
	}
}
