package core

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"willowdeck/internal/serving/committed"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

const (
	orderTimeout = 900 * time.Millisecond // callers themselves wait for a second
	orderRetry   = 60 * time.Millisecond  // between looks for an acting replica
)

// callTable follows orders until their outcome is known. Commands are found by their id, reads and calls to
// another core by a number.
type callTable struct {
	next     uint64
	commands map[string]chan *wirepb.CallReply
	numbered map[uint64]chan *wirepb.CallReply
}

func newCallTable() callTable {
	return callTable{
		commands: map[string]chan *wirepb.CallReply{}, numbered: map[uint64]chan *wirepb.CallReply{},
	}
}

func (t *callTable) number(reply chan *wirepb.CallReply) uint64 {
	t.next++
	t.numbered[t.next] = reply
	return t.next
}

// finish tells the outcome of a committed command.
func (t *callTable) finish(result committed.Result) {
	if reply := t.commands[result.ID]; reply != nil {
		delete(t.commands, result.ID)
		reply <- &wirepb.CallReply{Outcome: result.Outcome}
	}
}

func (t *callTable) finishRead(number uint64, machine *committed.Machine) {
	t.finishCall(&wirepb.CallReply{
		Number: number, Outcome: wirepb.Outcome_OUTCOME_TAKEN,
		Body: machine.Body(), Generation: machine.Generation(),
	})
}

func (t *callTable) finishCall(reply *wirepb.CallReply) {
	if waiting := t.numbered[reply.Number]; waiting != nil {
		delete(t.numbered, reply.Number)
		waiting <- reply
	}
}

// order carries out a command, or a read where command is nil, at the acting replica, wherever that is. It
// returns OUTCOME_UNKNOWN where no clear answer came in time; the caller may send the same again.
func (c *Core) order(ctx context.Context, command *wirepb.Command) *wirepb.CallReply {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		reply := make(chan *wirepb.CallReply, 1)
		sentTo := make(chan string, 1)
		if !c.do(func() { sentTo <- c.submit(command, reply) }) {
			return &wirepb.CallReply{}
		}
		result := c.awaitOrder(ctx, reply, sentTo)
		if result != nil && result.Outcome != wirepb.Outcome_OUTCOME_UNKNOWN || ctx.Err() != nil {
			if result == nil {
				result = &wirepb.CallReply{}
			}
			return result
		}
		select {
		case <-ctx.Done():
		case <-time.After(orderRetry):
		}
	}
}

// awaitOrder waits for a reply, or nil where none came or the acting replica has changed.
func (c *Core) awaitOrder(
	ctx context.Context, reply <-chan *wirepb.CallReply, sentTo <-chan string,
) *wirepb.CallReply {
	var target string
	select {
	case target = <-sentTo:
	case <-ctx.Done():
		return nil
	}
	if target == "" {
		return nil
	}
	for {
		select {
		case result := <-reply:
			return result
		case <-ctx.Done():
			return nil
		case <-time.After(orderRetry):
			if c.leaderNow(ctx) != target {
				return nil
			}
		}
	}
}

func (c *Core) leaderNow(ctx context.Context) string {
	leader := make(chan string, 1)
	if !c.do(func() { leader <- c.node.Leader() }) {
		return ""
	}
	select {
	case name := <-leader:
		return name
	case <-ctx.Done():
		return ""
	}
}

// submit proposes a command or registers a read here, or hands it to the acting replica. It returns who has
// it.
func (c *Core) submit(command *wirepb.Command, reply chan *wirepb.CallReply) string {
	leader := c.node.Leader()
	if leader == "" {
		return ""
	}
	if leader == c.identity {
		if !c.submitHere(command, reply) {
			return ""
		}
		return leader
	}
	link := c.links[c.internalAddress(consensus.Address(leader))]
	if link == nil {
		return ""
	}
	call := &wirepb.Call{Number: c.callers.number(reply), From: c.internal}
	if command == nil {
		call.Order = &wirepb.Call_Read{Read: true}
	} else {
		call.Order = &wirepb.Call_Command{Command: command}
	}
	link.send(&wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: call}})
	return leader
}

func (c *Core) submitHere(command *wirepb.Command, reply chan *wirepb.CallReply) bool {
	if !c.node.Acting() {
		return false
	}
	if command == nil {
		return c.node.Read(c.callers.number(reply))
	}
	command = proto.Clone(command).(*wirepb.Command)
	c.callers.next++
	command.Id = c.identity + "/" + strconv.FormatUint(c.callers.next, 10) + "/" + randomTag()
	data, err := proto.Marshal(command)
	if err != nil {
		return false
	}
	c.callers.commands[command.Id] = reply
	_, proposed := c.node.Propose(data)
	return proposed
}

// takeCall carries out an order that another core has handed on.
func (c *Core) takeCall(call *wirepb.Call) {
	reply := make(chan *wirepb.CallReply, 1)
	if !c.submitHere(call.GetCommand(), reply) {
		reply <- &wirepb.CallReply{}
	}
	go func() {
		select {
		case result := <-reply:
			answer := proto.Clone(result).(*wirepb.CallReply)
			answer.Number = call.Number
			c.do(func() {
				c.sendTo(call.From, &wirepb.Envelope{Body: &wirepb.Envelope_Reply{Reply: answer}})
			})
		case <-time.After(2 * orderTimeout):
		}
	}()
}
