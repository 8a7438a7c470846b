package faultinject

import (
	"context"
	"errors"
	"fmt"
	"time"

	"willowdeck/internal/testkit/history"
)

// Stage is what a Player breaks. Its methods are called one at a time.
type Stage interface {
	Cut(from, to string, how Cut) error
	Heal(from, to string) error
	Shape(from, to string, s Shape) error
	Stall(name string) error
	Resume(name string) error
	Crash(name string) error
	Spoil(name string, d Damage) error
	Restart(name string) error
	Limit(name string, room int64) error
}

// Player plays schedules on a Stage.
type Player struct {
	Stage  Stage
	Record history.Recorder // of each act once it is done; may be nil

	// Wait returns at a moment, ms from the first call's; or before, with an error, where ctx ends. Where nil,
	// it is of this machine's clock.
	Wait func(ctx context.Context, at int) error
}

// Play plays a schedule to its end. Where ctx ends before, all is made whole at once. Acts that fail are told
// in the record and in the error, and the play goes on.
func (p *Player) Play(ctx context.Context, s Schedule) error {
	if err := s.Check(); err != nil {
		return err
	}
	wait := p.Wait
	if wait == nil {
		wait = waiter()
	}
	var failed []error
	do := func(a Act) {
		says := a.String()
		if err := p.act(a); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", says, err))
			says += ": " + err.Error()
		}
		if p.Record != nil {
			p.Record.Write(history.Event{Kind: history.Faults, Peer: a.Whom, Says: says})
		}
	}
	last := -1
	for _, a := range s.Acts() {
		if a.At != last {
			if err := wait(ctx, a.At); err != nil {
				for _, a := range s.undo(last) {
					do(a)
				}
				return errors.Join(append(failed, err)...)
			}
		}
		last = a.At
		do(a)
	}
	if err := wait(ctx, s.Span); err != nil {
		failed = append(failed, err)
	}
	return errors.Join(failed...)
}

func waiter() func(context.Context, int) error {
	start := time.Now()
	return func(ctx context.Context, at int) error {
		t := time.NewTimer(time.Until(start.Add(time.Duration(at) * time.Millisecond)))
		defer t.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			return ctx.Err()
		}
	}
}

func (p *Player) act(a Act) error {
	switch a.Do {
	case Sever:
		return p.Stage.Cut(a.Whom, a.To, a.How)
	case Heal:
		return p.Stage.Heal(a.Whom, a.To)
	case Bend:
		return p.Stage.Shape(a.Whom, a.To, a.Shape)
	case Halt:
		return p.Stage.Stall(a.Whom)
	case Go:
		return p.Stage.Resume(a.Whom)
	case Crash:
		return p.Stage.Crash(a.Whom)
	case Spoil:
		return p.Stage.Spoil(a.Whom, a.Damage)
	case Restart:
		return p.Stage.Restart(a.Whom)
	default:
		return p.Stage.Limit(a.Whom, a.FileLimitBytes)
	}
}

// Rig is a Stage of real links, processes and disks, by name.
type Rig struct {
	Net       *Net
	Processes map[string]*Process
	Disks     map[string]*Disk // of processes that have one
}

func (r *Rig) process(name string) (*Process, error) {
	if p := r.Processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("%s is no process of the rig", name)
}

func (r *Rig) with(name string, do func(*Process) error) error {
	p, err := r.process(name)
	if err != nil {
		return err
	}
	return do(p)
}

// Cut cuts a direction.
func (r *Rig) Cut(from, to string, how Cut) error {
	r.Net.Cut(from, to, how)
	return nil
}

// Heal ends a direction's cut.
func (r *Rig) Heal(from, to string) error {
	r.Net.Heal(from, to)
	return nil
}

// Shape shapes a direction.
func (r *Rig) Shape(from, to string, s Shape) error {
	r.Net.Shape(from, to, s)
	return nil
}

// Stall stops a process.
func (r *Rig) Stall(name string) error { return r.with(name, (*Process).Stall) }

// Resume lets a process go on.
func (r *Rig) Resume(name string) error { return r.with(name, (*Process).Resume) }

// Crash kills a process. The first time a copy of its disk is kept, as what an old disk has.
func (r *Rig) Crash(name string) error {
	err := r.with(name, (*Process).Kill)
	if d := r.Disks[name]; err == nil && d != nil && !d.Kept() {
		err = d.Keep()
	}
	return err
}

// Spoil spoils a process's disk, while it is down.
func (r *Rig) Spoil(name string, d Damage) error {
	disk := r.Disks[name]
	if disk == nil {
		return fmt.Errorf("%s has no disk", name)
	}
	return disk.Spoil(d)
}

// Restart starts a process anew.
func (r *Rig) Restart(name string) error {
	return r.with(name, func(p *Process) error { return p.Restart(nil) })
}

// Limit bounds a process's files, in this life or the next.
func (r *Rig) Limit(name string, room int64) error {
	err := r.with(name, func(p *Process) error { return p.Limit(room) })
	if errors.Is(err, ErrEnded) {
		return nil
	}
	return err
}
