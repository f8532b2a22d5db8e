package pimcaller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/samber/oops"
)

// maxDatagram is the largest UDP datagram in bytes.
const maxDatagram = 65_535

// queueSize is the number of messages that wait for one exchange or flow; further ones are counted as late. It is also
// the number of notifications that wait in Flow.Updates.
const queueSize = 64

// receiveBuffer is the size of the socket's receive buffer in bytes; many flows share one socket.
const receiveBuffer = 4 << 20

// Caller sends requests to one service and keeps flows open over one socket; it is safe for concurrent use.
type Caller struct {
	cfg    Config
	conn   *net.UDPConn
	tokens *tokenSource
	ctx    context.Context
	wg     sync.WaitGroup

	late, malformed, retransmitted, flowsOpened, flowsBroken atomic.Uint64
	// tag is the Request-Tag of the last POST request; it starts at a random number.
	tag atomic.Uint64

	mu     sync.Mutex
	rand   *rand.Rand
	nextID uint16
	queues map[coapToken]*receiveQueue
}

// receiveQueue holds the received messages of one exchange or flow.
type receiveQueue struct {
	// id is the message id that an answer must have unless anyID is set, as it is for flows.
	id    uint16
	anyID bool
	ch    chan *response
}

// Dial opens the socket; it returns the error of the socket. The cleanup function closes it and ends all flows.
func Dial(cfg Config) (c *Caller, cleanup func(), err error) {
	defer func() {
		if err != nil {
			err = oops.Wrapf(err, "open caller socket")
		}
	}()
	cfg = cfg.withDefaults()
	var local *net.UDPAddr
	if cfg.Local.IsValid() {
		local = net.UDPAddrFromAddrPort(cfg.Local)
	}
	conn, err := net.DialUDP("udp4", local, net.UDPAddrFromAddrPort(cfg.Service))
	if err != nil {
		return nil, nil, err
	}
	if err = conn.SetReadBuffer(receiveBuffer); err != nil {
		return nil, nil, errors.Join(err, conn.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	c = &Caller{cfg: cfg, conn: conn, ctx: ctx, rand: cfg.Rand, queues: make(map[coapToken]*receiveQueue)}
	c.nextID = uint16(cfg.Rand.Uint32())
	c.tag.Store(cfg.Rand.Uint64())
	c.tokens = newTokenSource(cfg.TokenMaxAge)
	c.wg.Go(c.run)
	cleanup = func() {
		cancel()
		_ = conn.Close()
		c.wg.Wait()
	}
	return c, cleanup, nil
}

// Local returns the address of the socket.
func (c *Caller) Local() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stats returns the totals since the start.
func (c *Caller) Stats() Stats {
	return Stats{
		Late:          c.late.Load(),
		Malformed:     c.malformed.Load(),
		Retransmitted: c.retransmitted.Load(),
		FlowsOpened:   c.flowsOpened.Load(),
		FlowsBroken:   c.flowsBroken.Load(),
	}
}

func (c *Caller) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A connected socket reports ICMP errors here; the lost datagram is retransmitted.
			continue
		}
		c.receive(buf[:n])
	}
}

func (c *Caller) receive(datagram []byte) {
	r, err := decode(datagram)
	if err != nil {
		c.malformed.Add(1)
		return
	}
	if !c.deliver(r) {
		c.late.Add(1)
	}
	if r.typ == message.Confirmable {
		c.acknowledge(r.id)
	}
}

// deliver puts a response into the queue of its exchange and reports whether it did. It drops responses to another
// exchange (other CoAP token), late ones of an earlier message (other message id), messages that are no responses
// (class below 2) and those that find the queue full.
func (c *Caller) deliver(r *response) bool {
	c.mu.Lock()
	queue := c.queues[r.token]
	c.mu.Unlock()
	if queue == nil || !queue.anyID && queue.id != r.id || r.class() < 2 {
		return false
	}
	select {
	case queue.ch <- r:
		return true
	default:
		return false
	}
}

// acknowledge answers a confirmable message with an empty acknowledgement, so that its sender stops retransmitting it.
func (c *Caller) acknowledge(id uint16) {
	const ack = 1<<6 | byte(message.Acknowledgement)<<4
	_, _ = c.conn.Write([]byte{ack, 0, byte(id >> 8), byte(id)})
}

// register adds a receive queue under a new CoAP token, with a new message id; with anyID, the queue accepts responses
// with any message id.
func (c *Caller) register(anyID bool) (token coapToken, queue *receiveQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		token = c.newToken()
		if _, taken := c.queues[token]; !taken {
			break
		}
	}
	queue = &receiveQueue{id: c.newID(), anyID: anyID, ch: make(chan *response, queueSize)}
	c.queues[token] = queue
	return token, queue
}

func (c *Caller) unregister(token coapToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queues, token)
}
