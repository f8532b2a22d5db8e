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
	// guaranteedUsed counts the guaranteed slots in use, poolUsed those that were granted beyond the guarantee.
	guaranteedUsed, poolUsed int
	guarantee, borrow        pacer
	// lendable is the number of idle guaranteed slots that others may use.
	lendable float64
	// poolTag is the start tag among contracts of the same priority, in slot seconds per unit of weight.
	poolTag float64
}

// account charges the use of fractional slots up to now.
func (c *contract) account(now pimclock.Instant) {
	c.guarantee.account(now, c.guaranteedUsed)
	c.borrow.account(now, c.poolUsed)
}

// scale sets the limits of the contract to its part of the owner's slots.
func (c *contract) scale(now pimclock.Instant, capacity, total float64) {
	c.account(now)
	part := capacity / total
	c.guarantee.limit = float64(c.terms.GuaranteedSlots) * part
	c.borrow.limit = float64(c.terms.BorrowLimit) * part
	c.lendable = float64(c.terms.LendLimit) * part
}

// reserved returns the idle guaranteed slots that are not lent.
func (c *contract) reserved() float64 {
	return max(0, c.guarantee.limit-float64(c.guaranteedUsed)-c.lendable)
}

func (c *contract) weight() float64 {
	if c.terms.ShareWeight > 0 {
		return c.terms.ShareWeight
	}
	return 1
}

// activate is called when the queue becomes non-empty.
func (c *contract) activate(now pimclock.Instant, virtual float64, credit time.Duration) {
	c.account(now)
	c.guarantee.activate(now, credit)
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
