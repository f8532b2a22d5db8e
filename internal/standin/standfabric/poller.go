package standfabric

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
)

// maxListBytes bounds the list of VMs in bytes.
const maxListBytes = 4 << 20

// poller reads the platform's list of VMs periodically; the last list stays in force while the platform is down.
type poller struct {
	fabric *Fabric
	client http.Client
}

func newPoller(f *Fabric) *poller {
	return &poller{fabric: f, client: http.Client{Timeout: f.cfg.PollInterval * 4}}
}

func (p *poller) run(ctx context.Context) {
	ticker := time.NewTicker(p.fabric.cfg.PollInterval)
	defer ticker.Stop()
	for {
		if vms, err := p.fetch(ctx); err != nil {
			p.fabric.cfg.Log.Debug().Err(err).Msg("cannot read the VM list")
		} else {
			p.fabric.SetVMs(vms)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *poller) fetch(ctx context.Context) (vms []netip.Addr, err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "fetch VM list")
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.fabric.cfg.ListURL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	return liveVMs(body)
}

// liveVMs reads an array of VMs or an object with the key vms. Other keys are ignored, since the format belongs to the
// platform. A VM serves callers at the IP address of its peer address.
func liveVMs(body []byte) (vms []netip.Addr, err error) {
	var list struct {
		VMs []pimview.Node `json:"vms"`
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		err = json.Unmarshal(body, &list.VMs)
	} else {
		err = json.Unmarshal(body, &list)
	}
	if err != nil {
		return nil, err
	}
	for _, node := range list.VMs {
		if node.State == pimview.NodeLive && node.PeerAddress.IsValid() {
			vms = append(vms, node.PeerAddress.Addr())
		}
	}
	return vms, nil
}
