package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/statemachine"
	"willowdeck/internal/serving/wirepb"
)

const (
	orderTimeout = 900 * time.Millisecond // callers themselves wait for a second
	orderRetry   = 60 * time.Millisecond  // after which an order that nobody took is tried again
	answerWait   = 300 * time.Millisecond // for an answer, after which the same try is made again
	mostAsked    = 8192                   // orders that a leader follows at a time
)

// order is something asked of this core, on its way to an outcome. It may be tried more than once, always
// with the same number and command id.
type order struct {
	command  *wirepb.Command // nil: a read
	done     func(*wirepb.CallReply)
	deadline time.Duration
	target   string // the leader that has it; "": nobody
	number   uint64
	retryAt  time.Duration
}

// orderTable holds the orders whose outcome is open, in the order of their coming.
type orderTable struct {
	next uint64
	open []*order
}

func newOrderTable() orderTable { return orderTable{} }

func (t *orderTable) find(number uint64) *order {
	for _, o := range t.open {
		if o.number == number {
			return o
		}
	}
	return nil
}

func (t *orderTable) remove(o *order) {
	t.open = slices.DeleteFunc(t.open, func(x *order) bool { return x == o })
}

// asker says who waits for an outcome at the leader. A number means something to one life of one core only.
type asker struct {
	address string // "": this core
	life    string
	number  uint64
}

// asked is an order that a leader follows.
type asked struct {
	asker   asker
	expires time.Duration
}

// askedTable holds what a leader was asked: commands by their id, reads by number.
type askedTable struct {
	commands map[string]asked
	reads    map[uint64]asked
}

func newAskedTable() askedTable {
	return askedTable{commands: map[string]asked{}, reads: map[uint64]asked{}}
}

func (t *askedTable) full() bool { return len(t.commands)+len(t.reads) >= mostAsked }

func (t *askedTable) expire(now time.Duration) {
	for id, entry := range t.commands {
		if now >= entry.expires {
			delete(t.commands, id)
		}
	}
	for id, entry := range t.reads {
		if now >= entry.expires {
			delete(t.reads, id)
		}
	}
}

// Submit carries out a command, or a read where command is nil, at the leader, wherever that is. done is
// called once, with OUTCOME_UNKNOWN where no clear outcome is known in time; the caller may send the same
// again. The time counts from when the order may have arrived.
func (e *Engine) Submit(command *wirepb.Command, done func(*wirepb.CallReply)) {
	now := e.awake()
	e.orders.next++
	o := &order{done: done, deadline: now + orderTimeout - e.lag, number: e.orders.next}
	if command != nil {
		o.command = proto.Clone(command).(*wirepb.Command)
		o.command.Id = e.uniqueID(o.number)
	}
	e.orders.open = append(e.orders.open, o)
	if now >= o.deadline {
		e.finish(o, &wirepb.CallReply{}) // its caller may have given up while this process stood still
		return
	}
	e.try(o)
	e.carryOut()
}

// pursueOrders ends orders whose time is over, and tries others again.
func (e *Engine) pursueOrders() {
	now := e.now()
	e.asked.expire(now)
	for _, o := range slices.Clone(e.orders.open) {
		switch {
		case now >= o.deadline:
			e.finish(o, &wirepb.CallReply{})
		case o.target != e.node.Leader() || now >= o.retryAt:
			e.try(o)
		}
	}
}

func (e *Engine) finish(o *order, reply *wirepb.CallReply) {
	e.orders.remove(o)
	o.done(reply)
}

// try hands an order to the leader.
func (e *Engine) try(o *order) {
	now := e.now()
	leader := e.node.Leader()
	o.target = leader
	o.retryAt = now + answerWait
	switch leader {
	case "":
		o.retryAt = now + orderRetry
	case e.options.Identity:
		if !e.ask(o.command, asker{number: o.number}, o.deadline) {
			o.target = ""
			o.retryAt = now + orderRetry
		}
	default:
		e.environment.Send(e.options.AddressOf(consensus.Address(leader)), e.callOf(o))
	}
}

// callOf says until when the leader may begin with the order, by the leader's own clock, so that a call which
// was held up does nothing after its caller has given up.
func (e *Engine) callOf(o *order) *wirepb.Envelope {
	call := &wirepb.Call{
		Number: o.number, From: e.options.Address, Life: e.options.Life, Term: e.node.Term(),
		NotAfter: e.node.LeaderClock() + uint64((o.deadline-e.now())/time.Microsecond),
	}
	if o.command == nil {
		call.Order = &wirepb.Call_Read{Read: true}
	} else {
		call.Order = &wirepb.Call_Command{Command: o.command}
	}
	return &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: call}}
}

// ask proposes a command, or registers a read, at this core. It returns false where that cannot be.
func (e *Engine) ask(command *wirepb.Command, by asker, expires time.Duration) bool {
	if !e.node.IsEstablishedLeader() || e.asked.full() {
		return false
	}
	entry := asked{asker: by, expires: expires}
	if command == nil {
		e.orders.next++
		e.asked.reads[e.orders.next] = entry
		return e.node.ReadIndex(e.orders.next)
	}
	_, proposed := e.asked.commands[command.Id]
	e.asked.commands[command.Id] = entry
	if proposed {
		return true // an earlier try of the same order is under way
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return false
	}
	if _, proposed = e.node.Propose(data); !proposed {
		delete(e.asked.commands, command.Id)
	}
	return proposed
}

// takeCall carries out an order that another core has handed on.
func (e *Engine) takeCall(call *wirepb.Call) {
	by := asker{address: call.From, life: call.Life, number: call.Number}
	late := call.Term != e.node.Term() || e.node.LeaderClock() >= call.NotAfter
	if late || !e.ask(call.GetCommand(), by, e.now()+orderTimeout) {
		e.answer(by, &wirepb.CallReply{})
	}
}

// answer tells whoever has asked the outcome.
func (e *Engine) answer(by asker, reply *wirepb.CallReply) {
	reply.Number = by.number
	reply.Life = by.life
	if by.address == "" {
		reply.Life = e.options.Life
		e.takeReply(reply)
		return
	}
	e.environment.Send(by.address, &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: reply}})
}

// takeReply ends the order that is answered. An answer to another life ends nothing, nor does one to an order
// that was given up. Which try is answered does not matter: versions only rise, so a later try of the same
// order cannot have another outcome.
func (e *Engine) takeReply(reply *wirepb.CallReply) {
	o := e.orders.find(reply.Number)
	if o == nil || reply.Life != e.options.Life {
		return
	}
	if reply.Outcome == wirepb.Outcome_OUTCOME_UNKNOWN {
		o.target = ""
		o.retryAt = e.now() + orderRetry
		return
	}
	e.finish(o, reply)
}

// finishCommand tells the outcome of a committed command.
func (e *Engine) finishCommand(result statemachine.Result) {
	entry, waiting := e.asked.commands[result.ID]
	if !waiting {
		return
	}
	delete(e.asked.commands, result.ID)
	e.answer(entry.asker, &wirepb.CallReply{Outcome: result.Outcome})
}

func (e *Engine) finishRead(id uint64) {
	entry, waiting := e.asked.reads[id]
	if !waiting {
		return
	}
	delete(e.asked.reads, id)
	e.answer(entry.asker, &wirepb.CallReply{
		Outcome: wirepb.Outcome_OUTCOME_TAKEN, Body: e.machine.Body(), Generation: e.machine.Generation(),
	})
}
