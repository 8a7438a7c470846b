package core

import (
	"time"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// replicationTimeout is how long a caller waits until a majority holds a record. Callers themselves wait
// for a second.
const replicationTimeout = 800 * time.Millisecond

// ackTable follows records that must be held by a majority of the core before their writer is answered.
type ackTable struct {
	next    uint64
	waiting map[uint64]*pendingAck
}

type pendingAck struct {
	holders map[string]bool // addresses of replicas that hold the records
	needed  int
	done    chan struct{}
}

func newAckTable() ackTable { return ackTable{waiting: map[uint64]*pendingAck{}} }

func (t *ackTable) start(needed int, own string) (uint64, *pendingAck) {
	t.next++
	pending := &pendingAck{holders: map[string]bool{own: true}, needed: needed, done: make(chan struct{})}
	t.waiting[t.next] = pending
	return t.next, pending
}

func (t *ackTable) acknowledge(ack *wirepb.CatalogAck) {
	pending := t.waiting[ack.Number]
	if pending == nil {
		return
	}
	pending.holders[consensus.Address(ack.From)] = true
	if len(pending.holders) >= pending.needed {
		close(pending.done)
		delete(t.waiting, ack.Number)
	}
}

// replicate sends a held record to the other cores and returns a channel that is closed once a majority has
// it.
func (c *Core) replicate(record *wirepb.Record) (number uint64, done <-chan struct{}) {
	quorum := len(c.node.Members())/2 + 1
	number, pending := c.acks.start(quorum, consensus.Address(c.identity))
	c.broadcast(c.batchOf([]*wirepb.Record{record}, number))
	if quorum <= 1 {
		close(pending.done)
		delete(c.acks.waiting, number)
	}
	return number, pending.done
}

// awaitReplicas waits, outside the core's goroutine, until a majority holds the record that prepare
// returns. A nil record needs no waiting.
func (c *Core) awaitReplicas(prepare func() *wirepb.Record) bool {
	type ticket struct {
		record *wirepb.Record
		number uint64
		done   <-chan struct{}
	}
	tickets := make(chan ticket, 1)
	started := c.do(func() {
		record := prepare()
		if record == nil {
			tickets <- ticket{}
			return
		}
		number, done := c.replicate(record)
		tickets <- ticket{record, number, done}
	})
	if !started {
		return false
	}
	var t ticket
	select {
	case t = <-tickets:
	case <-c.stop:
		return false
	}
	if t.done == nil {
		return true
	}
	select {
	case <-t.done:
		c.do(func() { c.workers.confirm(t.record) })
		return true
	case <-time.After(replicationTimeout):
		c.do(func() { delete(c.acks.waiting, t.number) })
		return false
	case <-c.stop:
		return false
	}
}
