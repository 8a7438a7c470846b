package control

import (
	"slices"

	"willowdeck/internal/serving/catalog"
	"willowdeck/internal/serving/consensus"
	"willowdeck/internal/serving/wirepb"
)

// Links returns the internal addresses of the cores to which this core connects, sorted: voters, learners
// if this core leads, seeds of the settings, cores in the catalog, and cores that have recently sent a
// presence message.
func (e *Engine) Links() []string {
	wanted := map[string]bool{}
	for _, replica := range e.node.Peers() {
		wanted[e.options.AddressOf(consensus.Address(replica))] = true
	}
	for _, host := range e.options.Seeds {
		wanted[e.options.AddressOf(host)] = true
	}
	for _, entry := range e.stateView.EntriesOf(catalog.Cores) {
		if !entry.Record.Deleted {
			wanted[entry.Record.GetCore().GetAddress()] = true
		}
	}
	for address, lastContact := range e.coreContacts {
		if e.now()-lastContact < coreContactRetention {
			wanted[address] = true
		} else {
			delete(e.coreContacts, address)
		}
	}
	delete(wanted, e.options.Address)
	delete(wanted, "")
	addresses := make([]string, 0, len(wanted))
	for address := range wanted {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// broadcast sends an envelope to the cores that Links returns.
func (e *Engine) broadcast(envelope *wirepb.Envelope) {
	for _, address := range e.Links() {
		e.environment.Send(address, envelope)
	}
}
