package pimcaller

import "time"

// newToken returns a random CoAP token; c.mu must be held.
func (c *Caller) newToken() (token coapToken) {
	v := c.rand.Uint64()
	for i := range token {
		token[i] = byte(v >> (8 * i))
	}
	return token
}

// newID returns the next message id; c.mu must be held.
func (c *Caller) newID() uint16 {
	c.nextID++
	return c.nextID
}

// messageID returns the next message id and takes c.mu itself.
func (c *Caller) messageID() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newID()
}

// refreshInterval returns the time to the next refresh: Refresh, varied at random by up to a tenth in both directions,
// so that flows that were opened together do not refresh together. Its mean is Refresh, since VMs estimate the number
// of open flows from the rate of refreshes.
func (c *Caller) refreshInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	refresh := c.cfg.Refresh
	return refresh - refresh/10 + time.Duration(c.rand.Int64N(int64(refresh)/5+1))
}

// withJitter lengthens d at random by up to a half, so that callers do not retransmit at the same time (RFC 7252,
// section 4.8).
func (c *Caller) withJitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rand.Int64N(int64(d)/2+1))
}
