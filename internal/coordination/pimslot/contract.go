package pimslot

import (
	"time"

	"github.com/pimentoyard/pimentoyard/internal/state/pimclock"
	"github.com/pimentoyard/pimentoyard/pkg/pimcontract"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// entry is one waiting request.
type entry struct {
	id       OfferID
	req      SlotRequest
	contract *contract
}

// contract is the scheduling state of one contract at one service.
type contract struct {
	id    pimid.ContractID
	terms pimcontract.Terms
	queue []*entry
	// running counts all granted slots, borrowed those that were granted beyond the guarantee.
	running, borrowed int
	guarantee, borrow pacer
	// lend is the number of idle guaranteed slots that others may use.
	lend float64
	// poolTag is the start tag among contracts of the same priority, in slot seconds per unit of weight.
	poolTag float64
}

// scale sets the limits of the contract to its part of the owner's slots.
func (c *contract) scale(capacity, total float64) {
	part := capacity / total
	c.guarantee.limit = float64(c.terms.GuaranteedSlots) * part
	c.borrow.limit = float64(c.terms.BorrowLimit) * part
	c.lend = float64(c.terms.LendLimit) * part
}

// reserved returns the idle guaranteed slots that are not lent.
func (c *contract) reserved() float64 {
	return max(0, c.guarantee.limit-float64(c.running)-c.lend)
}

func (c *contract) weight() float64 {
	if c.terms.ShareWeight > 0 {
		return c.terms.ShareWeight
	}
	return 1
}

// activate is called when the queue becomes non-empty.
func (c *contract) activate(now pimclock.Instant, virtual float64, mean time.Duration) {
	// A credit of one request lets a contract that was idle start a second request without a pause.
	c.guarantee.activate(now, c.guarantee.stretch(mean))
	c.borrow.activate(now, 0)
	c.poolTag = max(c.poolTag, virtual)
}

func (c *contract) push(e *entry) { c.queue = append(c.queue, e) }

// remove deletes the queue entry at index i and keeps the order.
func (c *contract) remove(i int) {
	copy(c.queue[i:], c.queue[i+1:])
	c.queue[len(c.queue)-1] = nil
	c.queue = c.queue[:len(c.queue)-1]
}
