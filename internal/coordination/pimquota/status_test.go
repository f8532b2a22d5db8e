package pimquota

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a status that names another reason than the one that decides: after the start, while the owner lives,
// and after it failed.
func TestStatusGivesTheReason(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 2, faultLimit)
	why := func(vm int) string { return s.vms[vm].pool.Status(s.clock.Now())[0].Why }
	s.publish(0, 2)
	s.publish(1, 2)
	s.run(time.Second, 50, pooled{s})
	is.True(strings.HasPrefix(why(0), "borrows without a share"))
	s.run(faultWarmUp+2*time.Second, 50, pooled{s})
	is.True(strings.HasPrefix(why(0), "own share"))
	s.run(2*time.Second, 400, pooled{s})
	is.True(strings.HasPrefix(why(0), "borrows from VM 1"))
	s.vms[1].up = false
	s.run(800*time.Millisecond, 400, pooled{s})
	is.True(strings.HasPrefix(why(0), "nothing until the lease of VM 1 ends"))
	s.run(time.Second, 50, pooled{s})
	is.True(strings.HasPrefix(why(0), "own share"))
}

// Guards against memory that grows with every contract that was ever published.
func TestRemovedContractsAreDeleted(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 2, faultLimit)
	s.publish(0, 2)
	s.publish(1, 2)
	s.run(faultWarmUp, 400, pooled{s})
	is.Equal(len(s.vms[1].pool.owner.pools), 1)
	for range 4 {
		for vm := range s.vms {
			s.published[vm] = Publication{Nodes: 2, Listed: true}
		}
		s.run(time.Second, 0, pooled{s})
	}
	for _, vm := range s.vms {
		is.Equal(len(vm.pool.member.accounts)+len(vm.pool.member.order)+len(vm.pool.owner.pools), 0)
	}
}
