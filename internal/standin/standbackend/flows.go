package standbackend

import (
	crand "crypto/rand"
	"net/netip"
	"sync"
	"time"
)

// flowKey identifies a flow by its caller and the CoAP token of its first message.
type flowKey struct {
	caller netip.AddrPort
	token  string
}

// flow is the state of one open flow.
type flow struct {
	key flowKey
	// identity is chosen at random when the flow opens and sent as ETag, so that a caller notices that the state of its
	// flow was lost even if the same server opened the flow again.
	identity [8]byte
	// sequence is the Observe value of the latest notification.
	sequence    uint32
	refreshedAt time.Time
}

// flows holds the open flows.
type flows struct {
	ttl  time.Duration
	mu   sync.Mutex
	open map[flowKey]*flow
}

func newFlows(ttl time.Duration) *flows {
	return &flows{ttl: ttl, open: make(map[flowKey]*flow)}
}

// sequenceMask keeps sequence numbers within the 24 bits of the Observe option.
const sequenceMask = 1<<24 - 1

// refresh opens or refreshes a flow and returns a copy with the next sequence number; opened reports a new flow.
func (f *flows) refresh(key flowKey, now time.Time) (current flow, opened bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl, ok := f.open[key]
	if !ok {
		fl = &flow{key: key}
		_, _ = crand.Read(fl.identity[:])
		f.open[key] = fl
	}
	fl.refreshedAt = now
	fl.sequence = (fl.sequence + 1) & sequenceMask
	return *fl, !ok
}

// find returns a copy of an open flow.
func (f *flows) find(key flowKey) (current flow, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl, ok := f.open[key]
	if !ok {
		return flow{}, false
	}
	return *fl, true
}

func (f *flows) remove(key flowKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, key)
}

func (f *flows) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// tick removes flows that were not refreshed within the TTL and returns the others with their next sequence numbers.
func (f *flows) tick(now time.Time) []flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := make([]flow, 0, len(f.open))
	for key, fl := range f.open {
		if now.Sub(fl.refreshedAt) >= f.ttl {
			delete(f.open, key)
			continue
		}
		fl.sequence = (fl.sequence + 1) & sequenceMask
		alive = append(alive, *fl)
	}
	return alive
}
