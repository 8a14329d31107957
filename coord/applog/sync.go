package applog

import "time"

// requestCommit wakes the background goroutine. It does not block.
func (l *Log) requestCommit() {
	select {
	case l.commitRequested <- struct{}{}:
	default: // a commit is already requested
	}
}

// RequestSync requests a sync of all records appended so far and returns at once. After the sync, the log's
// goroutine calls done with nil, ErrFull, ErrWriteFailed, or an error that Options.AroundSync substitutes. After
// ErrFull the records stay readable and the next sync retries the write. On a closed log, done is called with
// ErrClosed in a goroutine of its own. Requests made while a sync runs share the next sync. done must not block
// and must not call Wait, Rewrite or Close.
func (l *Log) RequestSync(done func(error)) {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		go done(ErrClosed)
		return
	}
	if len(l.waiters) == 0 {
		l.oldestWaiterAt = time.Now()
	}
	l.waiters = append(l.waiters, done)
	l.mutex.Unlock()
	l.requestCommit()
}

// OldestSyncWait returns how long the oldest unanswered sync request has waited, or 0 if there is none.
func (l *Log) OldestSyncWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !l.syncRequestedAt.IsZero():
		return time.Since(l.syncRequestedAt)
	case len(l.waiters) > 0:
		return time.Since(l.oldestWaiterAt)
	default:
		return 0
	}
}

// Wait blocks until all records appended before the call are synced. It returns the same errors as RequestSync.
func (l *Log) Wait() error {
	result := make(chan error, 1)
	l.RequestSync(func(err error) { result <- err })
	return <-result
}

// run commits on request until the log is closed.
func (l *Log) run() {
	defer close(l.stopped)
	for range l.commitRequested {
		if l.commitPending() {
			return
		}
	}
}

// commitPending writes the buffer, syncs the file if a sync was requested, and answers the requests. It reports
// whether the log was closed.
func (l *Log) commitPending() bool {
	l.mutex.Lock()
	waiters := l.waiters
	l.waiters = nil
	if len(waiters) > 0 {
		l.syncRequestedAt = l.oldestWaiterAt
	}
	closed := l.closed
	l.mutex.Unlock()
	err := l.commitFor(waiters)
	l.mutex.Lock()
	l.syncRequestedAt = time.Time{}
	l.mutex.Unlock()
	for _, done := range waiters {
		done(err)
	}
	return closed
}

// commitFor writes the buffer, and syncs the file if there are waiters.
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

// commit writes the buffer, and syncs the file if sync is set.
func (l *Log) commit(sync bool) error {
	l.ioMutex.Lock()
	defer l.ioMutex.Unlock()
	if err := l.flush(); err != nil {
		return err
	}
	if !sync {
		return nil
	}
	return l.syncWritten()
}

// flush writes the records left over from a failed write, then those appended since. The caller holds ioMutex.
func (l *Log) flush() error {
	if err := l.writeFlushing(); err != nil {
		return err
	}
	l.mutex.Lock()
	l.flushing, l.active = l.active, l.flushing
	l.mutex.Unlock()
	return l.writeFlushing()
}

// writeFlushing writes the flushing buffer to the end of the file. The caller holds ioMutex.
func (l *Log) writeFlushing() error {
	l.mutex.Lock()
	chunk, offset, failure := l.flushing, l.written, l.failure
	l.mutex.Unlock()
	if failure != nil || len(chunk) == 0 {
		return failure
	}
	if _, err := l.file.WriteAt(chunk, offset); err != nil {
		return l.handleWriteError(err, offset)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.written += int64(len(chunk))
	l.flushing = resetBuffer(chunk)
	l.full = false
	l.changed.Broadcast()
	return nil
}

// handleWriteError truncates the file to offset after a write failed for lack of space and returns ErrFull; the
// records stay in the buffer. After any other error the log rejects all further writes.
func (l *Log) handleWriteError(cause error, offset int64) error {
	if !isNoSpace(cause) {
		return l.fail("write", cause)
	}
	if err := l.file.Truncate(offset); err != nil {
		return l.fail("truncate after a failed write", err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.full = true
	l.changed.Broadcast()
	return ErrFull
}

// syncWritten syncs the file if data was written since the last sync. The caller holds ioMutex.
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

// fail makes the log reject all further writes. It returns the error of the first failure.
func (l *Log) fail(operation string, cause error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure == nil {
		l.failure = &writeFailedError{operation: operation, cause: cause}
	}
	l.changed.Broadcast()
	return l.failure
}

// resetBuffer returns the buffer with length 0 for reuse, or nil if its capacity is above four times the flush
// threshold, to free the memory after a burst.
func resetBuffer(buffer []byte) []byte {
	if cap(buffer) > 4*flushThresholdBytes {
		return nil
	}
	return buffer[:0]
}
