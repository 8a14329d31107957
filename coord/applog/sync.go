package applog

import "time"

// wakeUp asks the goroutine of run for a round.
func (l *Log) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a round is already due
	}
}

// Sync asks for a sync of all that was appended so far and returns at once. The log's goroutine calls done
// after it: with nil, with ErrFull where there was no space (the records stay readable, and the next
// sync tries again), with ErrWriteFailed, or with ErrClosed. While a sync runs, requests collect for the next one.
// done must not block and must not call Wait, Rewrite or Close.
func (l *Log) RequestSync(done func(error)) {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		go done(ErrClosed)
		return
	}
	if len(l.waiters) == 0 {
		l.queuedAt = time.Now()
	}
	l.waiters = append(l.waiters, done)
	l.mutex.Unlock()
	l.wakeUp()
}

// Waiting returns for how long the oldest request for a sync has waited, 0 where there is none.
func (l *Log) OldestSyncWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !l.roundAt.IsZero():
		return time.Since(l.roundAt)
	case len(l.waiters) > 0:
		return time.Since(l.queuedAt)
	default:
		return 0
	}
}

// Wait returns when all that was appended before the call is synced. Its errors are those of Sync.
func (l *Log) Wait() error {
	result := make(chan error, 1)
	l.RequestSync(func(err error) { result <- err })
	return <-result
}

// run writes and syncs until the log is closed.
func (l *Log) run() {
	defer close(l.stopped)
	for range l.wake {
		if l.round() {
			return
		}
	}
}

// round writes the buffer and, where somebody waits, syncs the file once for all of them. It reports whether
// the log was closed.
func (l *Log) round() bool {
	l.mutex.Lock()
	waiters := l.waiters
	l.waiters = nil
	if len(waiters) > 0 {
		l.roundAt = l.queuedAt
	}
	closed := l.closed
	l.mutex.Unlock()
	err := l.commitFor(waiters)
	l.mutex.Lock()
	l.roundAt = time.Time{}
	l.mutex.Unlock()
	for _, done := range waiters {
		done(err)
	}
	return closed
}

// commitFor writes the buffer, and syncs the file where somebody waits for it.
func (l *Log) commitFor(waiters []func(error)) error {
	if len(waiters) == 0 {
		return l.commit(false)
	}
	commit := func() error { return l.commit(true) }
	if l.options.AroundSync != nil {
		return l.options.AroundSync(commit)
	}
	return commit()
}

func (l *Log) commit(wantSync bool) error {
	l.ioMutex.Lock()
	defer l.ioMutex.Unlock()
	if err := l.flush(); err != nil {
		return err
	}
	if !wantSync {
		return nil
	}
	return l.syncWritten()
}

// flush writes what a failed write left, then all that was appended since.
func (l *Log) flush() error {
	if err := l.writeFlushing(); err != nil {
		return err
	}
	l.mutex.Lock()
	l.flushing, l.active = l.active, l.flushing
	l.mutex.Unlock()
	return l.writeFlushing()
}

func (l *Log) writeFlushing() error {
	l.mutex.Lock()
	chunk, offset, failure := l.flushing, l.written, l.failure
	l.mutex.Unlock()
	if failure != nil || len(chunk) == 0 {
		return failure
	}
	if _, err := l.file.WriteAt(chunk, offset); err != nil {
		return l.undoWrite(err, offset)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.written += int64(len(chunk))
	l.flushing = emptied(chunk)
	l.full = false
	l.changed.Broadcast()
	return nil
}

// undoWrite cuts a failed write off the file. The records stay in the buffer.
func (l *Log) undoWrite(cause error, offset int64) error {
	if !isNoSpace(cause) {
		return l.fail("write", cause)
	}
	if err := l.file.Truncate(offset); err != nil {
		return l.fail("cut off a failed write", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.full = true
	l.changed.Broadcast()
	return ErrFull
}

// syncWritten syncs the file unless nothing was written since the last sync.
func (l *Log) syncWritten() error {
	l.mutex.Lock()
	target := l.written
	dirty := target > l.synced
	l.mutex.Unlock()
	if !dirty {
		return nil
	}
	if err := l.file.SyncData(); err != nil {
		return l.fail("sync", err)
	}
	l.mutex.Lock()
	l.synced = target
	l.mutex.Unlock()
	return nil
}

// fail makes the log refuse all further writes.
func (l *Log) fail(operation string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure == nil {
		l.failure = &failedError{operation: operation, cause: cause}
	}
	l.changed.Broadcast()
	return l.failure
}

// emptied returns a buffer for reuse, unless it has grown large.
func emptied(buffer []byte) []byte {
	if cap(buffer) > 4*flushBytes {
		return nil
	}
	return buffer[:0]
}
