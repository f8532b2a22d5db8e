package pimcaller

import (
	"context"
	"time"
)

// exchange sends one request and retransmits the same datagram until it is answered, ctx ends or the caller is closed.
// It returns the number of sent datagrams and the error of the context or of the encoder.
func (c *Caller) exchange(ctx context.Context, r *request) (resp *response, sent int, err error) {
	token, queue := c.register(false)
	defer c.unregister(token)
	datagram, err := r.encode(token, queue.id)
	if err != nil {
		return nil, 0, err
	}
	wait := c.withJitter(c.cfg.AckTimeout)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err = ctx.Err(); err != nil {
			return nil, sent, err
		}
		c.send(datagram, sent)
		sent++
		select {
		case resp = <-queue.ch:
			return resp, sent, nil
		case <-ctx.Done():
			return nil, sent, ctx.Err()
		case <-c.ctx.Done():
			return nil, sent, c.ctx.Err()
		case <-timer.C:
		}
		wait = min(2*wait, c.cfg.MaxAckTimeout)
		timer.Reset(wait)
	}
}

// send writes a datagram and counts it as retransmitted if sentBefore is above 0. It ignores errors of the socket,
// since the retransmission covers them like any other loss.
func (c *Caller) send(datagram []byte, sentBefore int) {
	if sentBefore > 0 {
		c.retransmitted.Add(1)
	}
	_, _ = c.conn.Write(datagram)
}
