package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
)

// maxStatusBytes bounds the answer of a VM, which is about 100 KB in the largest data centre.
const maxStatusBytes = 16 << 20

// errStatus means that the VM did not answer with its status.
var errStatus = errors.New("the VM did not answer with its status")

// statusCommand prints the state that a running VM holds and the reasons for it.
type statusCommand struct {
	Address string        `long:"address" default:"127.0.0.1:9600" value-name:"HOST:PORT" description:"operator address"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"longest wait for the answer"`
	JSON    bool          `long:"json" description:"print JSON"`

	out pimcli.Output
}

func newStatus(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "status", Short: "Print what a running VM believes and why",
		Long: "Fetches GET /status from the operator address of a VM.",
		Data: &statusCommand{out: out},
	}
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return fmt.Errorf("--address: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	status, err := fetchStatus(ctx, c.Address)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.out.Stdout, status)
	}
	return writeStatus(c.out.Stdout, status)
}

// fetchStatus returns the status as a decoded JSON object.
func fetchStatus(ctx context.Context, address string) (status map[string]any, err error) {
	u := url.URL{Scheme: "http", Host: address, Path: "/status"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes))
	dec.UseNumber()
	if err = dec.Decode(&status); err != nil {
		return nil, fmt.Errorf("%w: %w", errStatus, err)
	}
	return status, nil
}
