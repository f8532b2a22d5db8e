package pimsettings

import (
	"net/netip"

	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Settings holds the settings of a VM that runs the program pimentoyard.
type Settings struct {
	Node     Node     `toml:"node"`
	Cluster  Cluster  `toml:"cluster"`
	Platform Platform `toml:"platform"`
	Operator Operator `toml:"operator"`
	Log      Log      `toml:"log"`
	Trace    Trace    `toml:"trace"`
	Drain    Drain    `toml:"drain"`
	Limits   Limits   `toml:"limits"`
	// Peers are VMs that a starting VM contacts before it has a configuration.
	Peers []Node `toml:"peer"`
	// Keys are token keys in addition to the published ones.
	Keys []Key `toml:"key"`
}

// Node is the id, data centre and address of a VM.
type Node struct {
	ID         pimid.NodeID     `toml:"id"`
	DataCentre pimid.DataCentre `toml:"data_centre"`
	// PeerAddress serves drpc over TCP and receives gossip over UDP.
	PeerAddress netip.AddrPort `toml:"peer_address"`
}

// Cluster holds the secret that all VMs share, either its value or the file that contains it.
type Cluster struct {
	// Secret is the secret in hexadecimal digits; it has at least 32 bytes (64 digits).
	Secret string `toml:"secret"`
	// SecretFile is the path of a file that contains the secret in the same form; exactly one of the two is set.
	SecretFile string `toml:"secret_file"`
}

// Platform holds the URLs and the time limits of the service that publishes the configuration.
type Platform struct {
	// URLs are the base URLs of the replicas of the service in order of preference.
	URLs []string `toml:"urls"`
	// Timeout bounds one call that does not wait for a change.
	Timeout pimcontract.Duration `toml:"timeout"`
	// PollTimeout bounds one call that waits for a change.
	PollTimeout pimcontract.Duration `toml:"poll_timeout"`
}

// Operator holds the address at which operators reach this VM.
type Operator struct {
	// Address serves GET /metrics and GET /status, and GET /explain in the program pimentoyard.
	Address netip.AddrPort `toml:"address"`
}

// Log holds the log level.
type Log struct {
	// Level is the lowest level that is logged: trace, debug, info, warn or error.
	Level string `toml:"level"`
}

// Trace configures the export of traces.
type Trace struct {
	// Exporter is off, stdout or otlp.
	Exporter string `toml:"exporter"`
	// Endpoint is the URL of the collector if Exporter is otlp.
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the fraction of requests that are traced.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Drain configures a planned stop.
type Drain struct {
	// Timeout bounds the wait for the requests in flight. The handover of the records has a time limit of its own.
	Timeout pimcontract.Duration `toml:"timeout"`
}

// Limits bound the memory and work of one VM.
type Limits struct {
	// RequestsInFlight is the largest number of requests that this VM handles at once.
	RequestsInFlight int `toml:"requests_in_flight"`
	// RequestRecords is the largest number of records that are kept to detect duplicate requests.
	RequestRecords int `toml:"request_records"`
	// BodyBytes has no effect: pimedge.MaxBody bounds the body of a backend server's answer.
	BodyBytes int `toml:"body_bytes"`
	// ControlBytesPerSecond bounds the rate of the control traffic that this VM sends to other VMs: gossip, which is sent
	// in any case, and configuration changes, which get the rest.
	ControlBytesPerSecond int `toml:"control_bytes_per_second"`
	// ControlBurstBytes may be sent at once above that rate.
	ControlBurstBytes int `toml:"control_burst_bytes"`
}

// Key is a static token key.
type Key struct {
	ID uint8 `toml:"id"`
	// Secret is the key as 32 hexadecimal digits.
	Secret string `toml:"secret"`
}
