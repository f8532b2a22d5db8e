package pimfleet

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimconfig"
	"github.com/pimentoyard/pimentoyard/internal/coordination/pimmember"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimpb"
	"github.com/pimentoyard/pimentoyard/internal/state/pimview"
	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

// VM is one simulated VM.
type VM struct {
	ID         pimid.NodeID
	DataCentre pimid.DataCentre
	Members    *pimmember.Members
	Store      *pimconfig.Store
	// Bytes and Messages count what the VM sent; Bytes includes the overhead of the network protocols.
	Bytes, Messages uint64

	fleet   *Fleet
	rng     *rand.Rand
	syncer  *pimconfig.Syncer
	server  *pimconfig.Server
	budget  *pimconfig.Budget
	up      bool
	paused  bool
	reading bool
	// run changes with each start and each kill. Scheduled ticks and pending calls of an earlier run are dropped.
	run int
	// revision is the last revision of the store that was recorded.
	revision pimid.Revision
}

// start starts a new incarnation without state, which knows only the seeds.
func (vm *VM) start(seeds []pimview.Node) {
	f := vm.fleet
	f.starts++
	vm.run++
	vm.up, vm.paused, vm.reading, vm.revision = true, false, false, 0
	vm.rng = rand.New(rand.NewPCG(f.opts.Seed, uint64(vm.ID)<<32|uint64(vm.run)))
	cfg := f.opts.Member
	cfg.Self, cfg.DataCentre, cfg.Address, cfg.Seeds = vm.ID, vm.DataCentre, f.address(vm.ID), seeds
	cfg.Incarnation = pimid.NewIncarnation(f.starts, vm.rng.Uint64())
	vm.Members = pimmember.New(cfg, f.Now(), vm.rng)
	vm.SetStore(pimconfig.NewStore(pimconfig.Settings{}))
	run := vm.run
	f.at(f.Now().Add(tickOffset(vm.rng)), func() { vm.tick(run) })
}

// SetStore replaces the configuration store of a VM; faulty variants in tests use it.
func (vm *VM) SetStore(s *pimconfig.Store) {
	vm.Store = s
	vm.syncer = pimconfig.NewSyncer(s, vm.rng)
	vm.budget = pimconfig.NewBudget(vm.fleet.Now(), pimconfig.BudgetRate, pimconfig.BudgetBurst)
	vm.server = pimconfig.NewServer(s, vm.budget)
}

// Up reports whether the VM runs.
func (vm *VM) Up() bool { return vm.up }

// Kill stops a VM without notice to the others.
func (vm *VM) Kill() {
	vm.up = false
	vm.run++
}

// Restart stops a VM and starts it without state; it knows only the given seeds.
func (vm *VM) Restart(seeds ...pimid.NodeID) {
	vm.Kill()
	var list []pimview.Node
	for _, id := range seeds {
		list = append(list, pimview.Node{
			ID: id, DataCentre: vm.fleet.VM(id).DataCentre, PeerAddress: vm.fleet.address(id), State: pimview.NodeLive,
		})
	}
	vm.start(list)
}

// SetPaused pauses or resumes a VM. A paused VM runs no timers and drops received messages.
func (vm *VM) SetPaused(paused bool) { vm.paused = paused }

// tick runs the timers of the failure detector, reads the platform if this VM is a reader, pulls configuration and
// schedules the next tick.
func (vm *VM) tick(run int) {
	f := vm.fleet
	if vm.run != run {
		return
	}
	f.at(f.Now().Add(tickInterval), func() { vm.tick(run) })
	if vm.paused {
		return
	}
	vm.Send(vm.Members.Tick(f.Now()))
	if pimconfig.IsReader(vm.Members, vm.DataCentre, vm.ID) {
		f.readPlatform(vm)
	}
	if !f.opts.NoSync {
		vm.pull()
	}
}

// storeChanged handles the result of a change of the store: it counts a regression and passes a new revision and list
// of VMs to the failure detector. It panics on errors other than a refused change.
func (vm *VM) storeChanged(err error) {
	if err != nil && !isRejected(err) {
		panic(err)
	}
	d := vm.Store.Digest()
	if d.Revision < vm.revision {
		vm.fleet.regressions++
	}
	if d.Revision == vm.revision {
		return
	}
	vm.revision = d.Revision
	vm.Members.SetDigest(d.Revision, d.Hash[:])
	if nodes := vm.Store.View().Nodes; len(nodes) > 0 {
		list := make([]pimview.Node, 0, len(nodes))
		for _, n := range nodes {
			list = append(list, n)
		}
		vm.Members.SetPublished(vm.fleet.Now(), uint64(d.Revision), list)
	}
}

// Send sends messages of the failure detector over the simulated network.
func (vm *VM) Send(out []pimmember.Message) {
	f := vm.fleet
	for _, msg := range out {
		vm.Messages++
		size := proto.Size(msg.Gossip) + sealBytes
		vm.Bytes += uint64(size)
		vm.budget.Charge(f.Now(), size)
		to := f.VM(msg.To)
		if f.lost(vm, to) || f.opts.Drop != nil && f.opts.Drop(vm, msg.To, msg.Gossip) {
			continue
		}
		g := msg.Gossip
		f.at(f.Now().Add(f.delay(vm, to)), func() { to.receive(g) })
	}
}

func (f *Fleet) lost(from, to *VM) bool {
	return f.cut(from.ID, to.ID) || f.rng.Float64() < f.opts.Loss
}

func (vm *VM) receive(g *pimpb.Gossip) {
	if !vm.up || vm.paused {
		return
	}
	vm.Send(vm.Members.Receive(vm.fleet.Now(), g))
}
