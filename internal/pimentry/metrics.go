package pimentry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
)

// edgeCounters count the packets of callers and the errors of their socket.
type edgeCounters struct {
	malformed, readErrors, sendErrors *metrics.Counter
	// verdicts is indexed by pimsteer.Reason.
	verdicts []*metrics.Counter
}

func newEdgeCounters(set *metrics.Set) edgeCounters {
	c := edgeCounters{
		malformed:  set.NewCounter("pimentoyard_packets_malformed_total"),
		readErrors: set.NewCounter("pimentoyard_packet_read_errors_total"),
		sendErrors: set.NewCounter("pimentoyard_packet_send_errors_total"),
	}
	for _, r := range pimsteer.Reasons() {
		c.verdicts = append(c.verdicts, set.NewCounter(fmt.Sprintf("pimentoyard_packets_total{reason=%q}", r)))
	}
	return c
}

func (n *Node) registerMetrics() {
	gauge := func(name string, value func() float64) { n.set.NewGauge(name, value) }
	gauge("pimentoyard_view_revision", func() float64 { return float64(n.registry.Catalog().Revision.Number()) })
	gauge("pimentoyard_platform_era", func() float64 { return float64(n.registry.Catalog().Revision.Era()) })
	gauge("pimentoyard_view_age_seconds", func() float64 { return n.registry.Age(n.clock.Now()).Seconds() })
	gauge("pimentoyard_peer_deltas_discarded_total", func() float64 { return float64(n.mesh.gossip.DiscardedTransfers()) })
	gauge("pimentoyard_evacuated_data_centres", func() float64 { return float64(len(n.registry.Catalog().Evacuated())) })
	gauge("pimentoyard_view_hosts", func() float64 { return float64(len(n.registry.Catalog().Published())) })
	gauge("pimentoyard_view_unpublished_hosts", func() float64 { return float64(len(n.registry.Catalog().Unpublished())) })
}

func (n *Node) writeMetrics(w io.Writer) {
	n.set.WritePrometheus(w)
	if n.platform.Metrics != nil {
		n.platform.Metrics.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}
