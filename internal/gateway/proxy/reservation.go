package proxy

import (
	"willowdeck/internal/gateway/inflight"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
)

// Reservation keeps units of a request's quota until the request arrives.
type Reservation struct{ request *inflight.Request }

// Ended receives a command when the reservation ends before it is used: it has expired, or the client has
// gone.
func (r *Reservation) Ended() <-chan inflight.Command { return r.request.Commands }

// Reserve asks the policy whether a request may arrive within lifeMillis. If not there is no reservation,
// and the final answer is the policy's.
func (p *Proxy) Reserve(t *transport.Request, lifeMillis float64) (*Reservation, transport.FinalAnswer) {
	r, may := p.dispatcher.reserve(t, lifeMillis)
	if !may {
		d := (<-r.Commands).Decision
		return nil, transport.FinalAnswer{Kind: d.Kind, RetryAfterMillis: d.WaitMillis}
	}
	return &Reservation{r}, transport.FinalAnswer{}
}

// AdoptReservation takes over a reservation of another process, for lifeMillis more.
func (p *Proxy) AdoptReservation(a policy.Request, lifeMillis float64) *Reservation {
	return &Reservation{p.dispatcher.adoptReservation(a, lifeMillis)}
}

// ServeReserved serves a request that has a reservation, from its arrival on. It is false, and has done
// nothing, where the reservation has ended.
func (p *Proxy) ServeReserved(r *Reservation, t *transport.Request) (transport.FinalAnswer, bool) {
	entry := p.journalEntry(t)
	if final, known := p.answerFromJournal(t, entry); known {
		p.Release(r)
		return final, true
	}
	if !p.dispatcher.redeem(r.request, t) {
		return transport.FinalAnswer{}, false
	}
	return p.serve(r.request, t, entry), true
}

// Release ends a reservation whose request will not arrive.
func (p *Proxy) Release(r *Reservation) { p.dispatcher.release(r.request) }
