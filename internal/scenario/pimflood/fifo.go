package pimflood

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimslot"
	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// scheduler is the interface of an owner's scheduling policy; pimslot.Core and fifo implement it.
type scheduler interface {
	Offer(now pimclock.Instant, id pimslot.OfferID, r pimslot.SlotRequest) []pimslot.Decision
	Release(now pimclock.Instant, id pimslot.GrantID, r pimslot.Result) ([]pimslot.Decision, error)
	Tick(now pimclock.Instant) []pimslot.Decision
	Wait(now pimclock.Instant, service pimid.ServiceID, c pimid.ContractID) time.Duration
	Load(service pimid.ServiceID) pimslot.Load
}

// fifoContract is the only contract of the FIFO baseline, which carries the requests of all contracts.
const fifoContract pimid.ContractID = 0

// fifo is the FIFO policy: one queue for all contracts, with the same limits and deadlines.
type fifo struct{ *pimslot.Core }

func newFIFO(now pimclock.Instant, core *pimslot.Core) fifo {
	core.SetPolicy(now, pimslot.Policy{Service: service, TotalSlots: totalSlots, Contracts: []pimslot.ContractTerms{
		{ID: fifoContract, Terms: pimcontract.Terms{BorrowLimit: totalSlots}},
	}})
	return fifo{core}
}

// Offer queues the request under the only contract of the baseline.
func (f fifo) Offer(now pimclock.Instant, id pimslot.OfferID, r pimslot.SlotRequest) []pimslot.Decision {
	r.Contract = fifoContract
	return f.Core.Offer(now, id, r)
}

// Wait returns the estimated wait in the queue of the service; the contract is ignored.
func (f fifo) Wait(now pimclock.Instant, s pimid.ServiceID, _ pimid.ContractID) time.Duration {
	return f.Core.Wait(now, s, fifoContract)
}

var (
	_ scheduler = fifo{}
	_ scheduler = (*pimslot.Core)(nil)
)
