package pimquota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// Guards against a flood of one contract whose waiting requests fill the memory and the request limit of the VM.
func TestWaitingRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	p := New(Config{
		Self: 1, OwnerOf: func(pimid.ContractID) pimid.NodeID { return 2 },
		Send: func(pimid.NodeID, *pimpb.BorrowQuotaRequest) {},
	})
	now := pimclock.Instant(time.Hour)
	limit := Limit{Rate: 10, Burst: 5, DataCentreFraction: 1}
	p.Publish(now, Publication{Nodes: 8, Listed: true, Limits: map[pimid.ContractID]Limit{simContract: limit}})
	refused := 0
	for range 10_000 {
		wait := WaitLimit{Deadline: now.Add(simWait), ExtendedDeadline: now.Add(simExtendedWait)}
		p.Request(now, wait, simContract, 1, func(ok bool, _ time.Duration) {
			if !ok {
				refused++
			}
		})
	}
	is.True(10_000-refused <= 10*2+5+1)
}
