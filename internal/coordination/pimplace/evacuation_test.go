package pimplace

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimflow"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimsteer"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpacket"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against new flows in an evacuated data centre, against flows that are refused while another data centre can take them, and
// against a refusal with a reason that hides the request of the operator.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	home := &pimcatalog.Host{ID: 1, Service: "desk", DataCentre: "ikeja", Slots: 2}
	away := &pimcatalog.Host{ID: 2, Service: "desk", DataCentre: "apapa", Slots: 2}
	leaving := *away
	leaving.Leaving = true
	both := []*pimcatalog.Host{home, away}
	for name, tc := range map[string]struct {
		hosts     []*pimcatalog.Host
		evacuated []pimid.DataCentre
		want      pimsteer.Placement
	}{
		"none evacuated":                     {both, nil, pimsteer.Placement{Host: home}},
		"own data centre":                    {both, []pimid.DataCentre{"ikeja"}, pimsteer.Placement{Host: away}},
		"the other one":                      {both, []pimid.DataCentre{"apapa"}, pimsteer.Placement{Host: home}},
		"one that does not run the service":  {both, []pimid.DataCentre{"yaba"}, pimsteer.Placement{Host: home}},
		"all":                                {both, []pimid.DataCentre{"ikeja", "apapa"}, pimsteer.Placement{Reason: pimsteer.ReasonEvacuated}},
		"one, and the other one leaves":      {[]*pimcatalog.Host{home, &leaving}, []pimid.DataCentre{"ikeja"}, pimsteer.Placement{Reason: pimsteer.ReasonEvacuated}},
		"one, where the only server leaves":  {[]*pimcatalog.Host{&leaving}, []pimid.DataCentre{"apapa"}, pimsteer.Placement{Reason: pimsteer.ReasonNoHost}},
		"all, and the service has no server": {nil, []pimid.DataCentre{"ikeja", "apapa"}, pimsteer.Placement{Reason: pimsteer.ReasonNoHost}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// A full queue must not outweigh the request.
			p := placerWith(map[pimcatalog.HostID]Load{2: {Load: pimflow.Load{Busy: 40}}})
			c := pimcatalog.NewCatalog(1, nil, tc.hosts, tc.evacuated...)
			route := &pimcatalog.Route{Shares: []pimcatalog.Share{{Service: "desk"}}}
			is.Equal(p.Place(0, c, route, &pimpacket.Packet{}), tc.want)
		})
	}
}
