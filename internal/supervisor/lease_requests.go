package supervisor

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"willowdeck/internal/distribution"
	"willowdeck/internal/distribution/relay"
	"willowdeck/internal/gateway/lifecycle"
	"willowdeck/internal/raftlog"
	"willowdeck/internal/ruleset"
)

// The reasons by which refused update requests are counted.
const (
	reasonUnknownProcess = "stranger"
	reasonUnconfirmed    = "unconfirmed"
)

// notConfirmed is the answer to an instance while no lease can be granted.
const notConfirmed = "no quorum has confirmed the rules in force within the lease"

// notKept is the answer to a process that is not one of this daemon's.
func notKept(pid int, name string) string {
	return fmt.Sprintf("%d is no process of %q that this daemon keeps", pid, name)
}

// handleLease answers an instance that asks for its lease with all rules, as instances of older programs do.
func (d *Daemon) handleLease(w http.ResponseWriter, r *http.Request) {
	name, lease, ok := d.readLeaseRequest(w, r)
	if !ok {
		return
	}
	lease.Version.Rules = d.withAddressOverrides(name, &lease.Version.Rules)
	raw, err := lease.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// readLeaseRequest reads and records an instance's request, and returns the lease to answer it with; false:
// it has been answered with an error. It does not block: the lease holds what a quorum has confirmed last,
// and how long ago.
func (d *Daemon) readLeaseRequest(
	w http.ResponseWriter,
	r *http.Request,
) (name string, lease ruleset.Lease, ok bool) {
	query := r.URL.Query()
	name = query.Get("instance")
	pid, pidErr := strconv.Atoi(query.Get("pid"))
	heldStep, heldErr := strconv.ParseUint(query.Get("holds"), 10, 64)
	index, indexErr := strconv.ParseInt(query.Get("index"), 10, 64)
	if err := errors.Join(pidErr, heldErr, indexErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return name, lease, false
	}
	if owner, known := d.instanceByPID.Load(pid); !known || owner != name {
		http.Error(w, notKept(pid, name), http.StatusForbidden)
		return name, lease, false
	}
	w.Header().Set(lifecycle.DiscoveryIndexHeader, strconv.FormatInt(d.rules.HighestDiscoveryIndex(), 10))
	if lease, ok = d.rules.RenewLease(pid, name, heldStep, index); !ok {
		http.Error(w, notConfirmed, http.StatusServiceUnavailable)
	}
	return name, lease, ok
}

// answerUpdateRequest answers an instance that asks what has changed of the rules since the version that it
// holds. It does not block, as readLeaseRequest does not.
func (d *Daemon) answerUpdateRequest(request *distribution.Request) (*distribution.Response, error) {
	if owner, known := d.instanceByPID.Load(request.ProcessID); !known || owner != request.Sender {
		return nil, &relay.RejectionError{
			Reason:  reasonUnknownProcess,
			Message: notKept(request.ProcessID, request.Sender),
		}
	}
	now := raftlog.BootClockMillis() // not later than the time by which the lease's age is counted
	lease, ok := d.rules.RenewLease(request.ProcessID, request.Sender, request.AckedStep, request.DiscoveryIndex)
	if !ok {
		return nil, &relay.RejectionError{Reason: reasonUnconfirmed, Message: notConfirmed}
	}
	// An instance does not know the cluster's name, and reports nothing for other hosts.
	request.Cluster, request.HostAcks = d.rules.publisher.cluster, nil
	overridden := d.hasAddressOverrides(request.Sender)
	published, err := d.rules.publisher.answer(request, overridden, now,
		func(p *publication) (distribution.Snapshot, error) {
			if d.rules.subscription != nil && !overridden { // as received, known to this version or not
				return d.rules.subscription.currentSnapshot(), nil
			}
			if overridden {
				d.overrideLeaseAddresses(request.Sender, &lease)
			}
			return p.snapshotOf(&lease, now)
		})
	if err != nil {
		return nil, err
	}
	answer := *published
	answer.DiscoveryIndex = d.rules.HighestDiscoveryIndex()
	return &answer, nil
}

// hasAddressOverrides reports whether an instance reaches others at other addresses than the rules name.
func (d *Daemon) hasAddressOverrides(name string) bool {
	overrides := d.addressOverrides.Load()
	return overrides != nil && len((*overrides)[name]) > 0
}

// overrideLeaseAddresses replaces the rules of a lease by those with an instance's address overrides.
func (d *Daemon) overrideLeaseAddresses(name string, lease *ruleset.Lease) {
	lease.Version.Rules = d.withAddressOverrides(name, &lease.Version.Rules)
	if lease.Pending != nil {
		pending := d.withAddressOverrides(name, lease.Pending)
		lease.Pending = &pending
	}
}

// withAddressOverrides returns the rules with the addresses at which an instance reaches the others.
func (d *Daemon) withAddressOverrides(name string, rules *ruleset.Rules) ruleset.Rules {
	result := *rules
	if !d.hasAddressOverrides(name) {
		return result
	}
	overrides := (*d.addressOverrides.Load())[name]
	result.Members = slices.Clone(rules.Members)
	for i, member := range result.Members {
		if address := overrides[member.Peers]; address != "" {
			result.Members[i].Peers = address
		}
	}
	return result
}
