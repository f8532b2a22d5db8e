package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pimentoyard/pimentoyard/internal/pimcli"
	"github.com/pimentoyard/pimentoyard/internal/pimentry"
)

// maxExplanationBytes bounds the answer of a VM, which has about 400 bytes for each backend server and copy of the opening packet.
const maxExplanationBytes = 64 << 20

// errExplanation means that a VM did not answer with an explanation.
var errExplanation = errors.New("the VM did not answer with an explanation")

// explainCommand prints where running VMs would send a new flow.
type explainCommand struct {
	VMs     []string      `long:"vm" required:"yes" value-name:"HOST:PORT" description:"operator address of a VM; may be repeated"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"longest wait for the answers"`

	Positional struct {
		Address string `positional-arg-name:"IP:PORT" required:"yes" description:"published address"`
	} `positional-args:"yes"`

	out pimcli.Output
}

func newExplain(out pimcli.Output) pimcli.Command {
	return pimcli.Command{
		Name: "explain", Short: "Print where a new flow would go and why",
		Long: "Asks running VMs where a new flow to a published address would go now. Nothing is sent to a backend server.",
		Data: &explainCommand{out: out},
	}
}

// vmAnswer is the answer of one VM; Error is set if it gave none.
type vmAnswer struct {
	VM string `json:"vm"`
	// Explanation is what the VM answered, also fields that this command does not know.
	Explanation json.RawMessage `json:"explanation,omitempty"`
	Error       string          `json:"error,omitempty"`

	decoded pimentry.Explanation
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	address, err := netip.ParseAddrPort(c.Positional.Address)
	if err != nil {
		return err
	}
	for _, vm := range c.VMs {
		if _, err := netip.ParseAddrPort(vm); err != nil {
			return fmt.Errorf("--vm: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	answers := askAll(ctx, c.VMs, address)
	if c.JSON {
		enc := json.NewEncoder(c.out.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(answers)
	} else {
		err = writeExplanations(c.out.Stdout, answers)
	}
	if err != nil {
		return err
	}
	for i := range answers {
		if answers[i].Error != "" {
			return pimcli.ErrReported
		}
	}
	return nil
}

// maxAsked bounds the VMs that are asked at the same time.
const maxAsked = 16

// askAll asks the VMs and returns their answers in the same order.
func askAll(ctx context.Context, vms []string, address netip.AddrPort) []vmAnswer {
	answers := make([]vmAnswer, len(vms))
	var wg sync.WaitGroup
	free := make(chan struct{}, maxAsked)
	for i, vm := range vms {
		free <- struct{}{}
		wg.Go(func() {
			answers[i] = ask(ctx, vm, address)
			<-free
		})
	}
	wg.Wait()
	return answers
}

func ask(ctx context.Context, vm string, address netip.AddrPort) vmAnswer {
	a := vmAnswer{VM: vm}
	var err error
	if a.Explanation, err = fetchExplanation(ctx, vm, address); err == nil {
		if err = json.Unmarshal(a.Explanation, &a.decoded); err != nil {
			err = fmt.Errorf("%w: %w", errExplanation, err)
		}
	}
	if err != nil {
		a.Explanation, a.Error = nil, err.Error()
	}
	return a
}

func fetchExplanation(ctx context.Context, vm string, address netip.AddrPort) (body []byte, err error) {
	u := url.URL{Scheme: "http", Host: vm, Path: "/explain", RawQuery: url.Values{"address": {address.String()}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes)); err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s: %s", errExplanation, resp.Status, bytes.TrimSpace(body))
	}
	return body, nil
}
