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

// The reasons by which rejected update requests are counted.
const (
	reasonUnknownProcess = "stranger"
	reasonUnconfirmed    = "unconfirmed"
)

// unconfirmedMessage is the error text for an instance while no lease can be granted.
const unconfirmedMessage = "no quorum has confirmed the rules in force within the lease"

// unknownProcessMessage returns the error text for a process that this daemon does not supervise.
func unknownProcessMessage(pid int, name string) string {
	return fmt.Sprintf("%d is no process of %q that this daemon keeps", pid, name)
}

// handleLease answers a lease request with the lease and all of its rules. It serves instances of older
// programs; newer ones request the changes since the version that they hold (answerUpdateRequest).
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

// readLeaseRequest reads and records an instance's lease request and returns the lease to respond with. If ok
// is false, it has written an error response. It does not block: the lease holds the rules that a quorum
// confirmed last, with the time since then.
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
		http.Error(w, unknownProcessMessage(pid, name), http.StatusForbidden)
		return name, lease, false
	}
	w.Header().Set(lifecycle.DiscoveryIndexHeader, strconv.FormatInt(d.rules.HighestDiscoveryIndex(), 10))
	if lease, ok = d.rules.RenewLease(pid, name, heldStep, index); !ok {
		http.Error(w, unconfirmedMessage, http.StatusServiceUnavailable)
	}
	return name, lease, ok
}

// answerUpdateRequest answers an instance's request for the changes of the rules since the version that it
// holds. Like readLeaseRequest, it does not block.
func (d *Daemon) answerUpdateRequest(request *distribution.Request) (*distribution.Response, error) {
	if owner, known := d.instanceByPID.Load(request.ProcessID); !known || owner != request.Sender {
		return nil, &relay.RejectionError{
			Reason:  reasonUnknownProcess,
			Message: unknownProcessMessage(request.ProcessID, request.Sender),
		}
	}
	// RenewLease measures the lease's age after this time, so the read time that snapshotOf computes from both
	// is never too late.
	now := raftlog.BootClockMillis()
	lease, ok := d.rules.RenewLease(request.ProcessID, request.Sender, request.AckedStep, request.DiscoveryIndex)
	if !ok {
		return nil, &relay.RejectionError{Reason: reasonUnconfirmed, Message: unconfirmedMessage}
	}
	// An instance does not know the cluster's name and may not acknowledge steps for other hosts.
	request.Cluster, request.HostAcks = d.rules.publisher.cluster, nil
	overridden := d.hasAddressOverrides(request.Sender)
	published, err := d.rules.publisher.answer(request, overridden, now,
		func(p *publication) (distribution.Snapshot, error) {
			if d.rules.subscription != nil && !overridden { // as received, even if not supported here
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

// hasAddressOverrides reports whether an instance uses other addresses for its peers than those in the rules.
func (d *Daemon) hasAddressOverrides(name string) bool {
	overrides := d.addressOverrides.Load()
	return overrides != nil && len((*overrides)[name]) > 0
}

// overrideLeaseAddresses applies an instance's address overrides to the rules and the pending rules of a
// lease.
func (d *Daemon) overrideLeaseAddresses(name string, lease *ruleset.Lease) {
	lease.Version.Rules = d.withAddressOverrides(name, &lease.Version.Rules)
	if lease.Pending != nil {
		pending := d.withAddressOverrides(name, lease.Pending)
		lease.Pending = &pending
	}
}

// withAddressOverrides returns a copy of the rules with an instance's address overrides applied to the
// members' peer addresses.
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
