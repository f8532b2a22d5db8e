package pimledger

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Register exports the ledger with the set; the counters of each contract are balanced within one scrape.
func (l *Ledger) Register(set *metrics.Set) {
	set.RegisterMetricsWriter(l.WriteMetrics)
}

// WriteMetrics writes all counters in Prometheus text format.
func (l *Ledger) WriteMetrics(w io.Writer) {
	s := l.Snapshot()
	for _, id := range slices.Sorted(maps.Keys(s)) {
		s[id].write(w, id)
	}
}

func (t Totals) write(w io.Writer, id pimid.ContractID) {
	counter := func(name string, n uint64) {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`pimentoyard_%s_total{contract="%d"}`, name, id), n)
	}
	gauge := func(name string, n uint64) {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`pimentoyard_%s{contract="%d"}`, name, id), n)
	}
	counter("offered", t.Offered)
	// Admitted is a gauge, since it falls when admitted work turns out not to have run and is counted as refused.
	gauge("admitted", t.Admitted)
	gauge("in_flight", t.InFlight)
	counter("answered", t.Answered)
	counter("failed", t.Failed)
	counter("unknown", t.Unknown)
	for _, reason := range slices.Sorted(maps.Keys(t.Refusals)) {
		name := fmt.Sprintf(`pimentoyard_refused_total{contract="%d",reason=%q}`, id, reason)
		metrics.WriteCounterUint64(w, name, t.Refusals[reason])
	}
}
