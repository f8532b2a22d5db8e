package pimfleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

var errNoAnswer = errors.New("no answer")

// pull pulls configuration from another VM if one has announced a higher revision.
func (vm *VM) pull() {
	ahead := vm.Members.Ahead(vm.Store.Revision())
	if len(ahead) == 0 {
		return
	}
	if peer, req, ok := vm.syncer.Next(vm.fleet.Now(), ahead); ok {
		vm.call(peer, req)
	}
}

// call simulates a call to a peer. A lost segment delays the request or the reply, and a call to a peer that is
// partitioned, stopped or paused ends with the timeout.
func (vm *VM) call(peer pimid.NodeID, req *pimpb.PullConfigRequest) {
	f, to, run, syncer := vm.fleet, vm.fleet.VM(peer), vm.run, vm.syncer
	done := func(after time.Duration, reply *pimpb.PullConfigReply, failure error) {
		f.at(f.Now().Add(after), func() {
			if vm.run == run && vm.syncer == syncer {
				_, err := syncer.Done(f.Now(), peer, req, reply, failure)
				vm.storeChanged(err)
			}
		})
	}
	vm.count(req)
	if f.cut(vm.ID, peer) {
		done(pimconfig.PullTimeout, nil, errNoAnswer)
		return
	}
	f.at(f.Now().Add(f.callDelay(vm, to)), func() {
		if !to.up || to.paused || f.cut(vm.ID, peer) {
			done(pimconfig.PullTimeout, nil, errNoAnswer)
			return
		}
		reply := to.server.Pull(f.Now(), to.rng, req)
		to.count(reply)
		done(f.callDelay(to, vm), reply, nil)
	})
}

// count adds a message of a call to the sent bytes and messages.
func (vm *VM) count(m proto.Message) {
	vm.Messages++
	vm.Bytes += uint64(proto.Size(m) + callBytes)
}

func (f *Fleet) callDelay(a, b *VM) time.Duration {
	d := f.delay(a, b)
	if f.rng.Float64() < f.opts.Loss {
		d += resendDelay
	}
	return d
}

// tickOffset returns a random delay of up to one interval, so that the VMs do not tick at the same time.
func tickOffset(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(tickInterval))) }
