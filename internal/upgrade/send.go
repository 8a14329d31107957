package upgrade

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/hold"
)

// filesPerAheadBatch is the number of descriptors duplicated at a time while they are sent ahead.
const filesPerAheadBatch = 16

// maxQueuedSteps bounds the steps that wait to be sent to the new process. Once the queue was full, no further step is sent,
// and the new process requests the reducer's state during the hold instead.
const maxQueuedSteps = 8192

// sendTrial sends a snapshot and begins to send every later step to the new process.
func (s *HandoverSender) sendTrial() error {
	s.stepQueue, s.stepsWritten = make(chan Followed, maxQueuedSteps), make(chan struct{})
	steps := s.stepQueue
	s.stepsQueued, s.stepDropped, s.sentAhead = 0, false, nil
	text, err := s.Runtime.SnapshotAndFollow(func(f Followed) {
		if s.stepDropped {
			return
		}
		select {
		case steps <- f:
			s.stepsQueued++
		default:
			s.stepDropped = true // after a gap the new process can't follow, and waiting here would stop the service
		}
	})
	if err != nil {
		close(s.stepsWritten)
		return err
	}
	s.snapshotBytes = len(text)
	if err = s.pipe.messages.SetWriteDeadline(time.Now().Add(s.machine.Limits.Start)); err == nil {
		err = s.pipe.Send(Trial{Reducer: text})
	}
	// The queue is drained also after an error, since stopFollowing waits for that.
	pipe, written := s.pipe, s.stepsWritten
	go func() {
		defer close(written)
		for f := range steps {
			if pipe.Send(f) != nil {
				for range steps { // the pipe is broken
				}
			}
		}
	}()
	return err
}

// stopFollowing closes the queue of steps and waits until it is written. The loop must not add any more.
func (s *HandoverSender) stopFollowing() {
	if s.stepQueue != nil {
		close(s.stepQueue)
		<-s.stepsWritten
		s.stepQueue = nil
	}
}

// sendFilesAhead sends the descriptors of the present connections while they stay in use. It takes longest of a
// handover's parts, and done ahead it delays no caller.
func (s *HandoverSender) sendFilesAhead() error {
	limit := time.Now().Add(s.machine.Limits.Start)
	if err := errors.Join(s.pipe.messages.SetWriteDeadline(limit), s.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	s.resumeGC = pauseGC()
	if s.replacement != nil && s.ShedConns != nil {
		s.ShedConns()
	}
	conns, sent := s.Runtime.Gate.Conns(), 0
	s.sentAhead = make(map[*hold.Conn]int, len(conns))
	for len(conns) > 0 {
		batch := conns[:min(len(conns), filesPerAheadBatch)]
		conns = conns[len(batch):]
		var fds []int
		for _, c := range batch {
			// A duplicate is sent, since the original's number may refer to another connection by then.
			c.FD(func(fd int) {
				if duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
					s.sentAhead[c] = sent + len(fds)
					fds = append(fds, duplicate)
				}
			})
		}
		if len(fds) == 0 {
			continue
		}
		err := s.pipe.Send(Ahead{Files: len(fds)})
		if err == nil {
			err = s.pipe.SendFiles(fds)
		}
		for _, fd := range fds {
			unix.Close(fd)
		}
		if err != nil {
			return err
		}
		sent += len(fds)
	}
	return s.pipe.Send(Ahead{})
}

// sendAll sends the parcel and the descriptors that were not sent ahead. The runtime must be held.
func (s *HandoverSender) sendAll() error {
	limit := time.Now().Add(s.machine.Limits.Offer)
	if err := errors.Join(s.pipe.messages.SetWriteDeadline(limit), s.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	s.stopFollowing()
	files := hold.Files{SentAhead: s.sentAhead}
	parcel, err := s.Runtime.Pack(&files)
	if err != nil {
		return err
	}
	if parcel.Steps = s.stepsQueued; s.stepDropped {
		parcel.Steps = -1
	}
	parcel.Reload = s.Runtime.Reloads.Load() != s.reloadsAtStart
	packed := time.Now()
	s.progress.Held.Pack = milliseconds(packed.Sub(s.heldAt)) - s.progress.Held.Quiesce
	s.progress.Files, s.progress.FilesWhileHeld = len(files.FDs)+len(s.sentAhead), len(files.FDs)
	if err := s.pipe.Send(parcel); err != nil {
		return err
	}
	err = s.pipe.SendFiles(files.FDs)
	s.progress.Held.Send = milliseconds(time.Since(packed))
	return err
}
