package pimmember

import (
	"sync"

	"github.com/pimentoyard/pimentoyard/pkg/pimid"
)

const (
	cacheShards = 16
	// shardLimit bounds the cache at 131,072 keys; 33,000 backend servers and 8,900 services need 42,000.
	shardLimit = 8192
)

// ownerCache caches the owners of keys; it is safe for concurrent use.
type ownerCache struct {
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu     sync.RWMutex
	owners map[uint64]pimid.NodeID
}

func (c *ownerCache) shard(key uint64) *cacheShard {
	// The multiplication spreads keys that differ only in their high bits.
	return &c.shards[key*0x9E3779B97F4A7C15>>60]
}

func (c *ownerCache) get(key uint64) (pimid.NodeID, bool) {
	s := c.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	id, ok := s.owners[key]
	return id, ok
}

// put adds a key unless its shard is full. Nothing is evicted, so that a flood of new keys cannot displace those in
// use.
func (c *ownerCache) put(key uint64, id pimid.NodeID) {
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = map[uint64]pimid.NodeID{}
	}
	if len(s.owners) < shardLimit {
		s.owners[key] = id
	}
}

func (c *ownerCache) each(f func(uint64, pimid.NodeID)) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for key, id := range s.owners {
			f(key, id)
		}
		s.mu.RUnlock()
	}
}
