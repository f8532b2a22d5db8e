package pimcaller

import "time"

// newToken needs mu.
func (c *Caller) newToken() (token coapToken) {
	v := c.rand.Uint64()
	for i := range token {
		token[i] = byte(v >> (8 * i))
	}
	return token
}

// newID needs mu.
func (c *Caller) newID() uint16 {
	c.nextID++
	return c.nextID
}

// messageID returns the next message id.
func (c *Caller) messageID() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newID()
}

// refreshInterval varies the time between refreshes by a tenth, so that flows that were opened together do not refresh
// together. The mean stays, since VMs estimate open flows from the rate of refreshes.
func (c *Caller) refreshInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	refresh := c.cfg.Refresh
	return refresh - refresh/10 + time.Duration(c.rand.Int64N(int64(refresh)/5+1))
}

// withJitter lengthens d by up to a half, so that callers do not repeat in step (RFC 7252, 4.8).
func (c *Caller) withJitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rand.Int64N(int64(d)/2+1))
}
