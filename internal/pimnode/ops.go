package pimnode

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pimentoyard/pimentoyard/internal/transport/pimexplain"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimops"
	"github.com/pimentoyard/pimentoyard/internal/transport/pimtrace"
)

// startOps starts tracing and the operator server. It runs first, so that operators can query a VM that is still
// starting.
func (n *Node) startOps(ctx context.Context) error {
	t := n.cfg.Trace
	tracer, closeTrace, err := pimtrace.New(ctx,
		pimtrace.Settings{Exporter: t.Exporter, Endpoint: t.Endpoint, SampleRatio: t.SampleRatio},
		pimtrace.VM{Node: n.self.Node, Incarnation: n.self.Incarnation, DataCentre: n.cfg.Node.DataCentre})
	if err != nil {
		return err
	}
	n.trace = tracer
	n.addCleanup(n.cleanupWithTimeout(closeTrace))
	n.registerMetrics()
	_, closeOps, err := pimops.New(ctx, pimops.Config{
		Address: n.cfg.Operator.Address.String(), WriteMetrics: n.writeMetrics,
		Status:  func(context.Context) (any, error) { return n.Status(), nil },
		Explain: n.explain, Log: n.log,
	})
	if err != nil {
		return err
	}
	n.addCleanup(n.cleanupWithTimeout(closeOps))
	return nil
}

// cleanupWithTimeout returns a clean-up function that calls f with a timeout of callTimeout and logs its error.
func (n *Node) cleanupWithTimeout(f func(context.Context) error) func() {
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			n.log.Warn().Err(err).Msg("clean-up failed or timed out")
		}
	}
}

func (n *Node) registerMetrics() {
	n.ledger.Register(n.set)
	pimexplain.RegisterRuleMetrics(n.set, n.router.Count)
	n.gauge("pimentoyard_config_revision", func() float64 { return float64(n.store.Revision()) })
	n.gauge("pimentoyard_config_bad_values", func() float64 { return float64(len(n.store.BadValues())) })
	n.gauge("pimentoyard_config_stale_total", func() float64 { return float64(n.store.Counters().Stale) })
	n.gauge("pimentoyard_members_live", func() float64 { return float64(len(n.members.Live(n.cfg.Node.DataCentre))) })
	n.gauge("pimentoyard_member_failures_total", func() float64 { return float64(n.members.Counters().Failures) })
	n.gauge("pimentoyard_member_pauses_total", func() float64 { return float64(n.members.Counters().Pauses) })
	n.gauge("pimentoyard_owned_backends", func() float64 { return float64(len(n.topology.Load().owned)) })
	n.gauge("pimentoyard_ejected_backends", func() float64 { return float64(len(n.slots.Ejected())) })
	n.gauge("pimentoyard_requests_serving", func() float64 { return float64(n.serving.Load()) })
	n.gauge("pimentoyard_request_records", func() float64 {
		records, _ := n.home.Len()
		return float64(records)
	})
	n.registerEdgeMetrics()
}

func (n *Node) registerEdgeMetrics() {
	n.edgeGauge("pimentoyard_edge_received_total", func(c edgeCounters) uint64 { return c.Received })
	n.edgeGauge("pimentoyard_edge_malformed_total", func(c edgeCounters) uint64 { return c.Malformed })
	n.edgeGauge("pimentoyard_edge_forwarded_total", func(c edgeCounters) uint64 { return c.Forwarded })
	n.edgeGauge("pimentoyard_edge_replied_total", func(c edgeCounters) uint64 { return c.Replied })
	n.edgeGauge("pimentoyard_edge_overloaded_total", func(c edgeCounters) uint64 { return c.Overloaded })
	n.edgeGauge("pimentoyard_edge_send_errors_total", func(c edgeCounters) uint64 { return c.SendErrors })
}

func (n *Node) gauge(name string, value func() float64) { n.set.NewGauge(name, value) }

func (n *Node) edgeGauge(name string, value func(edgeCounters) uint64) {
	n.gauge(name, func() float64 {
		if edge := n.edge.Load(); edge != nil {
			return float64(value(edge.Counters()))
		}
		return 0
	})
}

func (n *Node) writeMetrics(w io.Writer) {
	n.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// explain returns what this VM would do with a packet now, and why.
func (n *Node) explain(_ context.Context, parameters url.Values) (any, error) {
	q, err := pimexplain.Parse(parameters)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", pimops.ErrQuery, err)
	}
	return n.router.Explain(n.clock.Now(), n.unixNow(), q.Packet()), nil
}

// uptime returns the time since the start of this VM.
func (n *Node) uptime() time.Duration { return n.clock.Now().Sub(n.started) }
