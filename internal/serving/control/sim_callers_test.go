package control

import (
	"math/rand"
	"time"

	"willowdeck/internal/serving/wirepb"
)

const (
	callerSeedShift = 1 << 40 // so that these draws differ from those of the faults
	heldUpRate      = 0.25    // probability that a link holds up a call
	maxHoldTime     = 4 * time.Second
)

// closeLags are the times by which the close of a connection may arrive behind the bytes before it, if a link
// has held up both.
var closeLags = []time.Duration{
	0, time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 2 * farDelay,
}

// callerLinks are the links between operators and cores. They may hold up a call, so that it arrives after
// its caller has given it up. They have random numbers of their own: the faults of a seed do not depend on
// them.
type callerLinks struct {
	random *rand.Rand
	events []scheduledAction
}

func newCallerLinks(seed int64) callerLinks {
	return callerLinks{random: rand.New(rand.NewSource(seed + callerSeedShift))}
}

// step lets calls and closes arrive that are due.
func (l *callerLinks) step(now time.Duration) {
	due := l.events
	l.events = nil
	for _, event := range due {
		if event.at <= now {
			event.run()
		} else {
			l.events = append(l.events, event)
		}
	}
}

func (l *callerLinks) at(at time.Duration, run func()) {
	l.events = append(l.events, scheduledAction{at, run})
}

// evacuationCall is an operator's call of an evacuation on a connection of its own.
type evacuationCall struct {
	process  *process // that the call has reached; nil: none yet
	answered bool     // the operator has the response
	withdraw func()
}

// callEvacuation sends the command of an evacuation to a core. A caller without a response after
// clientCallTimeout closes the connection.
func (c *clients) callEvacuation(m *machine, command *wirepb.Command, onReply func(*wirepb.CallReply)) {
	now := c.world.now
	call := &evacuationCall{withdraw: func() {}}
	arrival, closeLag := now, time.Duration(0)
	if c.callers.random.Float64() < heldUpRate {
		arrival += time.Duration(c.callers.random.Int63n(int64(maxHoldTime)))
		closeLag = closeLags[c.callers.random.Intn(len(closeLags))]
	}
	connectedTo := m.process // of a kept connection, which ends with the process
	if c.callers.random.Intn(2) == 0 {
		connectedTo = nil
	}
	answer := func(reply *wirepb.CallReply) {
		if c.world.now < now+clientCallTimeout {
			call.answered = true
			onReply(reply)
		}
	}
	c.callers.at(arrival, func() {
		if m.process != nil && (connectedTo == nil || connectedTo == m.process) {
			c.deliver(m.process, call, command, answer)
		}
	})
	c.callers.at(max(now+clientCallTimeout, arrival)+closeLag, func() {
		if !call.answered && call.process != nil {
			call.process.post(func(*Engine) { call.withdraw() })
		}
	})
}

// deliver hands a call to the process that it has reached.
func (c *clients) deliver(
	p *process, call *evacuationCall, command *wirepb.Command, answer func(*wirepb.CallReply),
) {
	call.process = p
	p.post(func(e *Engine) {
		if submit := c.world.planted.submit; submit == nil || !submit(e, command, answer) {
			call.withdraw = e.SubmitEvacuation(command, answer)
		}
	})
}
