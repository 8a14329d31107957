package upgrade

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/hold"
)

// aheadAtOnce is how many descriptors there are twice for a moment while they pass on ahead.
const aheadAtOnce = 16

// followMost bounds the steps that wait to be told to the new process. Beyond that it is no longer told any.
const followMost = 8192

// sendTrial sends a snapshot and begins to tell the new process every step.
func (g *HandoverSender) sendTrial() error {
	g.follow, g.followed = make(chan Followed, followMost), make(chan struct{})
	steps := g.follow
	g.steps, g.behind, g.ahead = 0, false, nil
	text, err := g.Runtime.SnapshotAndFollow(func(f Followed) {
		if g.behind {
			return
		}
		select {
		case steps <- f:
			g.steps++
		default:
			g.behind = true // danger: a gap would make the rest worthless, and waiting would stop the service
		}
	})
	if err != nil {
		close(g.followed)
		return err
	}
	g.bytes = len(text)
	if err = g.pipe.words.SetWriteDeadline(time.Now().Add(g.machine.Limits.Start)); err == nil {
		err = g.pipe.Send(Trial{Reducer: text})
	}
	// Danger: also after an error the steps are taken: whoever ends the following waits for that.
	pipe, followed := g.pipe, g.followed
	go func() {
		defer close(followed)
		for f := range steps {
			if pipe.Send(f) != nil {
				for range steps { // nobody listens any more
				}
			}
		}
	}()
	return err
}

// unfollow ends the telling of steps, once the loop no longer adds any.
func (g *HandoverSender) unfollow() {
	if g.follow != nil {
		close(g.follow)
		<-g.followed
		g.follow = nil
	}
}

// passAhead passes on the descriptors of the connections there are, while they go on working: it is what takes
// longest, and nobody has to wait for it.
func (g *HandoverSender) passAhead() error {
	limit := time.Now().Add(g.machine.Limits.Start)
	if err := errors.Join(g.pipe.words.SetWriteDeadline(limit), g.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	g.collect = pauseCollector()
	if g.came != nil && g.ShedConns != nil {
		g.ShedConns()
	}
	conns, sent := g.Runtime.Gate.Conns(), 0
	g.ahead = make(map[*hold.Conn]int, len(conns))
	for len(conns) > 0 {
		some := conns[:min(len(conns), aheadAtOnce)]
		conns = conns[len(some):]
		var fds []int
		for _, c := range some {
			// Danger: its number alone may stand for another connection by the time it is sent.
			c.FD(func(fd int) {
				if twin, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
					g.ahead[c] = sent + len(fds)
					fds = append(fds, twin)
				}
			})
		}
		if len(fds) == 0 {
			continue
		}
		err := g.pipe.Send(Ahead{Files: len(fds)})
		if err == nil {
			err = g.pipe.SendFiles(fds)
		}
		for _, fd := range fds {
			unix.Close(fd)
		}
		if err != nil {
			return err
		}
		sent += len(fds)
	}
	return g.pipe.Send(Ahead{})
}

// sendAll sends everything. The body is held.
func (g *HandoverSender) sendAll() error {
	limit := time.Now().Add(g.machine.Limits.Offer)
	if err := errors.Join(g.pipe.words.SetWriteDeadline(limit), g.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	g.unfollow()
	files := hold.Files{SentAhead: g.ahead}
	parcel, err := g.Runtime.Pack(&files)
	if err != nil {
		return err
	}
	if parcel.Steps = g.steps; g.behind {
		parcel.Steps = -1
	}
	parcel.Reload = g.Runtime.Reloads.Load() != g.reloads
	packed := time.Now()
	g.parcel.Held.Pack = millis(packed.Sub(g.heldAt)) - g.parcel.Held.Quiesce
	g.parcel.Files, g.parcel.FilesWhileHeld = len(files.FDs)+len(g.ahead), len(files.FDs)
	if err := g.pipe.Send(parcel); err != nil {
		return err
	}
	err = g.pipe.SendFiles(files.FDs)
	g.parcel.Held.Send = millis(time.Since(packed))
	return err
}
