package pimentry_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
	"github.com/pimentoyard/pimentoyard/platform/platformtest"
)

// Guards against new flows in an evacuated data centre, also through a VM that starts meanwhile, against open flows that end, against
// flows that wait although all data centres are evacuated, and against a request that does not end. Each must be visible to the operator.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 86, 2)
	away, err := f.AddHost("desk", "apapa", time.Millisecond)
	is.NoErr(err)
	isEvacuated := func(n int, want ...pimid.DataCentre) func() bool {
		return func() bool { return slices.Equal(f.nodes[n].Status().Evacuated, want) }
	}
	home := f.open(deskAddress)
	is.Equal(f.request(home, "before"), "desk before")
	is.True(!away.Has(home))

	f.Store.Put("op/evacuate/", []byte(`{}`))
	f.Store.Put("op/evacuate/ikeja", []byte(`not JSON`))
	f.await("request known", func() bool { return isEvacuated(1, "ikeja")() && isEvacuated(2, "ikeja")() })
	for range 10 {
		flow := f.open(deskAddress)
		is.Equal(f.request(flow, "away"), "desk away")
		is.True(away.Has(flow))
	}
	is.Equal(f.request(home, "open"), "desk open")
	_, err = f.caller.Open(videoAddress)
	is.True(errors.Is(err, platformtest.ErrReset)) // no other data centre runs the service

	f.Store.SetFault(platformtest.Fault{Busy: true})
	f.start(3)
	f.await("VM 3 ready", func() bool { return f.ready(3) })
	is.True(isEvacuated(3, "ikeja")())
	f.SetVMs(f.VMAddress(3))
	flow := f.open(deskAddress)
	is.Equal(f.request(flow, "away"), "desk away")
	is.True(away.Has(flow))
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", f.VMAddress(3), f.OpsPort))
	is.NoErr(err)
	metrics, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(strings.Contains(string(metrics), "pimentoyard_evacuated_data_centres 1"))

	f.Store.SetFault(platformtest.Fault{})
	f.Store.Delete("op/evacuate/ikeja")
	f.await("request ended", func() bool { return isEvacuated(1)() && isEvacuated(2)() && isEvacuated(3)() })
	flow = f.open(deskAddress)
	is.Equal(f.request(flow, "home"), "desk home")
	is.True(!away.Has(flow))

	logs := f.logs.String()
	for _, part := range []string{`"decision":"applied"`, `"decision":"relayed"`} {
		is.True(strings.Contains(logs, part))
	}
	for vm := 1; vm <= 3; vm++ {
		begins, ends := 0, 0
		for line := range strings.Lines(logs) {
			if !strings.Contains(line, fmt.Sprintf(`"vm":"vm-%d"`, vm)) || !strings.Contains(line, `"message":"evacuation"`) {
				continue
			}
			if strings.Contains(line, `"removed":true`) {
				ends++
			} else {
				begins++
			}
		}
		is.Equal([]int{begins, ends}, []int{1, 1})
	}
	is.True(strings.Contains(logs, "no valid name of a data centre"))
	is.True(strings.Contains(logs, "is no JSON object"))
	is.True(strings.Contains(logs, `"reason":"evacuated"`))
}
