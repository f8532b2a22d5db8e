package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"github.com/pimentoyard/pimentoyard/internal/standin/standfabric"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

func (o *options) config(log zerolog.Logger) (cfg standfabric.Config, err error) {
	cfg = standfabric.Config{
		Targets:      make(map[pimid.ServiceID][]netip.AddrPort),
		ListURL:      o.ListURL,
		PollInterval: o.Poll,
		Impairment:   standfabric.Impairment{Loss: o.Loss, Duplication: o.Duplication, MaxDelay: o.MaxDelay},
		Seed:         o.Seed,
		Log:          log,
	}
	for _, text := range o.Routes {
		route, err := parseRoute(text)
		if err != nil {
			return cfg, fmt.Errorf("service %q: %w", text, err)
		}
		cfg.Routes = append(cfg.Routes, route)
	}
	for _, text := range o.VMs {
		if err = addVM(&cfg, text); err != nil {
			return cfg, fmt.Errorf("VM %q: %w", text, err)
		}
	}
	return cfg, nil
}

// parseRoute reads id=ip:port or id=ip:port/edge-port.
func parseRoute(text string) (r standfabric.Route, err error) {
	text, edge, hasEdge := strings.Cut(text, "/")
	if r.Service, r.Listen, err = parseTarget(text); err != nil || !hasEdge {
		return r, err
	}
	port, err := strconv.ParseUint(edge, 10, 16)
	r.EdgePort = uint16(port)
	return r, err
}

// parseTarget reads id=ip:port.
func parseTarget(text string) (id pimid.ServiceID, addr netip.AddrPort, err error) {
	service, address, _ := strings.Cut(text, "=")
	number, err := strconv.ParseUint(service, 10, 16)
	if err != nil {
		return 0, addr, err
	}
	addr, err = netip.ParseAddrPort(address)
	return pimid.ServiceID(number), addr, err
}

// addVM adds a VM to the configuration. The text is the ip of a VM, or id=ip:port for its socket for one service.
func addVM(cfg *standfabric.Config, text string) error {
	if strings.Contains(text, "=") {
		id, target, err := parseTarget(text)
		cfg.Targets[id] = append(cfg.Targets[id], target)
		return err
	}
	vm, err := netip.ParseAddr(text)
	cfg.VMs = append(cfg.VMs, vm)
	return err
}
