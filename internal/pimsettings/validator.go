package pimsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/pimentoyard/pimentoyard/internal/pimtoml"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
)

type validator struct {
	doc    *pimtoml.Document
	faults pimtoml.Faults
}

func (v *validator) check(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	if f, ok := v.doc.Fault(key, fmt.Sprintf(format, args...)); ok {
		v.faults = append(v.faults, f)
	}
}

func (v *validator) settings(s *Settings) {
	v.node(s.Node)
	v.cluster(s.Cluster)
	v.platform(s.Platform)
	v.check(s.Operator.Address.IsValid(), "operator.address", "must be an address and port")
	v.oneOf(s.Log.Level, "log.level", "trace", "debug", "info", "warn", "error")
	v.trace(s.Trace)
	v.positive(s.Drain.Timeout, "drain.timeout")
	v.limits(s.Limits)
	v.keys(s.Keys)
}

func (v *validator) entry(s *Entry) {
	v.check(s.Node.Name != "", "node.name", "is required")
	v.check(s.Node.DataCentre != "", "node.data_centre", "is required")
	v.address(s.Edge.PacketAddress, "edge.packet_address")
	v.address(s.Edge.ReadinessAddress, "edge.check_address")
	v.address(s.Peer.Address, "peer.address")
	v.cluster(s.Cluster)
	v.address(s.Platform.Address, "platform.address")
	v.positive(s.Platform.Timeout, "platform.timeout")
	v.positive(s.Platform.InForceWithin, "platform.in_force_within")
	if v.doc.Has("platform.evacuated_within") {
		v.positive(s.Platform.EvacuatedWithin, "platform.evacuated_within")
	}
	v.address(s.Operator.Address, "operator.address")
	v.oneOf(s.Log.Level, "log.level", "trace", "debug", "info", "warn", "error")
	v.positive(s.Drain.Linger, "drain.linger")
	if s.SlowStart != nil {
		v.check(s.SlowStart.Overage > 0 && s.SlowStart.Overage <= maxOverage, "slow_start.overage", "must be above 0 and at most %d", maxOverage)
		v.check(s.SlowStart.Slack >= 0 && s.SlowStart.Slack <= maxSlack, "slow_start.slack", "must be between 0 and %d", maxSlack)
	}
	v.check(s.Admission.QueuePerSlot >= 0 && s.Admission.QueuePerSlot <= maxQueuePerSlot, "admission.queue_per_slot",
		"must be between 0 and %d", maxQueuePerSlot)
	v.check(s.Admission.Reserve >= 0 && s.Admission.Reserve <= 1, "admission.reserve", "must be between 0 and 1")
}

// The bounds of the limits during the slow start; a higher one limits nothing and is a mistake.
const (
	maxOverage = 1000
	maxSlack   = 1_000_000
)

// maxQueuePerSlot bounds the queue of a backend server: a request of 10 ms would wait for 10 s behind a longer one.
const maxQueuePerSlot = 1000

func (v *validator) node(n Node) {
	v.check(n.ID != 0, "node.id", "is required and must be above 0")
	v.check(n.DataCentre != "", "node.data_centre", "is required")
	v.address(n.PeerAddress, "node.peer_address")
}

func (v *validator) address(a netip.AddrPort, key string) {
	v.check(a.IsValid() && a.Port() != 0, key, "is required and must be an address and port")
	v.check(!a.IsValid() || !a.Addr().IsUnspecified(), key, "must be an address that other VMs can reach")
}

func (v *validator) cluster(c Cluster) {
	if (c.Secret == "") == (c.SecretFile == "") {
		v.check(false, "cluster.secret", "exactly one of secret and secret_file is required")
		return
	}
	if c.Secret != "" {
		_, err := c.Load()
		v.check(err == nil, "cluster.secret", "must be at least %d hexadecimal digits", 2*MinSecretBytes)
	}
}

func (v *validator) platform(p Platform) {
	v.check(len(p.URLs) > 0, "platform.urls", "at least one URL is required")
	for i, u := range p.URLs {
		v.url(u, fmt.Sprintf("platform.urls[%d]", i))
		v.check(!slices.Contains(p.URLs[:i], u), fmt.Sprintf("platform.urls[%d]", i), "is listed twice")
	}
	v.positive(p.Timeout, "platform.timeout")
	v.positive(p.PollTimeout, "platform.poll_timeout")
}

func (v *validator) url(text, key string) {
	u, err := url.Parse(text)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	v.check(ok, key, "must be an http or https URL with a host")
}

func (v *validator) trace(t Trace) {
	v.oneOf(t.Exporter, "trace.exporter", "off", "stdout", "otlp")
	if t.Exporter == "otlp" {
		v.url(t.Endpoint, "trace.endpoint")
	} else {
		v.check(t.Endpoint == "", "trace.endpoint", "is used only with exporter otlp")
	}
	v.check(t.SampleRatio >= 0 && t.SampleRatio <= 1, "trace.sample_ratio", "must be between 0 and 1")
}

func (v *validator) limits(l Limits) {
	for key, n := range map[string]int{
		"requests_in_flight":       l.RequestsInFlight,
		"request_records":          l.RequestRecords,
		"body_bytes":               l.BodyBytes,
		"control_bytes_per_second": l.ControlBytesPerSecond,
		"control_burst_bytes":      l.ControlBurstBytes,
	} {
		v.check(n > 0, "limits."+key, "must be above 0")
	}
}

func (v *validator) keys(keys []Key) {
	seen := map[uint8]bool{}
	for i, k := range keys {
		at := fmt.Sprintf("key[%d].", i)
		b, err := k.Bytes()
		v.check(err == nil && len(b) == KeyBytes, at+"secret", "must be %d hexadecimal digits", 2*KeyBytes)
		v.check(!seen[k.ID], at+"id", "id %d is used by another key", k.ID)
		seen[k.ID] = true
	}
}

func (v *validator) positive(d pimcontract.Duration, key string) {
	v.check(d > 0, key, "must be above 0")
}

func (v *validator) oneOf(value, key string, allowed ...string) {
	v.check(slices.Contains(allowed, value), key, "must be one of %s", strings.Join(allowed, ", "))
}
