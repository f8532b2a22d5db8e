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

// contract is the scheduling state of one contract for one service at this owner.
type contract struct {
	id    pimid.ContractID
	terms pimcontract.Terms
	queue []*entry
	// guaranteedUsed counts the guaranteed slots in use, poolUsed the slots in use that were granted from the pool.
	guaranteedUsed, poolUsed int
	// guarantee limits the use of guaranteed slots, borrow that of the pool.
	guarantee, borrow pacer
	// lendable is the largest number of idle guaranteed slots that other contracts may use.
	lendable float64
	// poolTag is the start tag (start-time fair queueing) among contracts of the same priority, in slot seconds per unit
	// of share weight.
	poolTag float64
}

// account charges the use of fractional slots up to now to the pacers.
func (c *contract) account(now pimclock.Instant) {
	c.guarantee.account(now, c.guaranteedUsed)
	c.borrow.account(now, c.poolUsed)
}

// scale sets the contract's limits at this owner: its terms times the owner's capacity divided by the total slots of the
// service.
func (c *contract) scale(now pimclock.Instant, capacity, total float64) {
	c.account(now)
	fraction := capacity / total
	c.guarantee.limit = float64(c.terms.GuaranteedSlots) * fraction
	c.borrow.limit = float64(c.terms.BorrowLimit) * fraction
	c.lendable = float64(c.terms.LendLimit) * fraction
}

// reserved returns the number of idle guaranteed slots that other contracts may not use.
func (c *contract) reserved() float64 {
	return max(0, c.guarantee.limit-float64(c.guaranteedUsed)-c.lendable)
}

func (c *contract) weight() float64 {
	if c.terms.ShareWeight > 0 {
		return c.terms.ShareWeight
	}
	return 1
}

// activate updates the start tags when the queue becomes non-empty, so that the contract cannot claim slots that it left
// unused earlier, except for the credit on its guarantee.
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
