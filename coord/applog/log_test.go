package applog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

func TestReadSeesBufferedAndWrittenRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	log, _, _ := openCollecting(t, t.TempDir(), Options{})
	wanted := map[Position]string{}
	for step := range 400 {
		payload := make([]byte, random.IntN(2000))
		payload = fmt.Appendf(payload, "%d", step)
		position, err := log.Append(payload)
		must.NoError(t, err)
		wanted[position] = string(payload)
		if random.IntN(40) == 0 {
			must.NoError(t, log.Wait())
		}
		for position, payload := range wanted { // any one of them
			got, err := log.Read(position)
			must.NoError(t, err)
			must.True(t, payload == string(got))
			break
		}
	}
	must.NoError(t, log.Close())
	for position := range wanted {
		_, err := log.Read(position)
		must.ErrorIs(t, err, ErrClosed)
		break
	}
}

func TestReadRefusesWhatIsNoRecord(t *testing.T) {
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	position, err := log.Append([]byte("payload"))
	must.NoError(t, err)
	must.NoError(t, log.Wait())
	for _, wrong := range []Position{
		{Offset: position.Offset, Length: position.Length - 1, Generation: 1},
		{Offset: position.Offset, Length: position.Length + 1, Generation: 1},
		{Offset: position.Offset, Length: -1, Generation: 1},
		{Offset: 0, Length: 1, Generation: 1},
		{Offset: position.Offset, Length: MaxPayloadBytes + 1, Generation: 1},
	} {
		_, err := log.Read(wrong)
		must.ErrorIs(t, err, ErrCorrupt)
	}
	content := contentOf(t, directory)
	content[len(content)-1] ^= 4
	must.NoError(t, writeContent(directory, content))
	_, err = log.Read(position)
	must.ErrorIs(t, err, ErrCorrupt)
	must.NoError(t, log.Close())
}

func TestRewriteKeepsWhatWasEmitted(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	index := map[Position]string{}
	for round := range 30 {
		for range random.IntN(60) {
			payload := fmt.Sprintf("%d/%x", round, random.Uint64())
			position, err := log.Append([]byte(payload))
			must.NoError(t, err)
			index[position] = payload
		}
		index = rewriteSome(t, log, random, index)
		for position, payload := range index {
			got, err := log.Read(position)
			must.NoError(t, err)
			must.EqOp(t, payload, string(got))
		}
	}
	must.NoError(t, log.Close())
	log, payloads, corrupt := openCollecting(t, directory, Options{})
	must.SliceEmpty(t, corrupt)
	must.EqOp(t, len(index), len(payloads))
	for _, payload := range index {
		must.SliceContains(t, payloads, payload)
	}
	must.NoError(t, log.Close())
}

// rewriteSome rewrites a log with about half of its records and checks that old positions are refused.
func rewriteSome(t *testing.T, log *Log, random *rand.Rand, index map[Position]string) map[Position]string {
	t.Helper()
	kept := map[Position]string{}
	must.NoError(t, log.Rewrite(func(write func([]byte) (Position, error)) error {
		for position, payload := range index {
			if random.IntN(2) == 0 {
				continue
			}
			old, err := log.Read(position)
			must.NoError(t, err)
			next, err := write(old)
			must.NoError(t, err)
			kept[next] = payload
		}
		return nil
	}))
	for position := range index {
		_, err := log.Read(position)
		must.ErrorIs(t, err, ErrStalePosition)
	}
	return kept
}

func TestFailedRewriteChangesNothing(t *testing.T) {
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	position, err := log.Append([]byte("kept"))
	must.NoError(t, err)
	failure := errors.New("emit failed")
	must.ErrorIs(t, log.Rewrite(func(write func([]byte) (Position, error)) error {
		_, err := write([]byte("dropped"))
		must.NoError(t, err)
		return failure
	}), failure)
	payload, err := log.Read(position)
	must.NoError(t, err)
	must.EqOp(t, "kept", string(payload))
	_, err = os.Stat(filepath.Join(directory, testName+rewriteSuffix))
	must.True(t, os.IsNotExist(err))
	must.NoError(t, log.Close())
	log, payloads, _ := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"kept"}, payloads)
	must.NoError(t, log.Close())
}

func TestOpenRemovesUnfinishedRewrite(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, testName+rewriteSuffix)
	must.NoError(t, os.WriteFile(path, []byte("half"), fileMode))
	log, payloads, _ := openCollecting(t, directory, Options{})
	must.SliceEmpty(t, payloads)
	_, err := os.Stat(path)
	must.True(t, os.IsNotExist(err))
	must.NoError(t, log.Close())
}

func TestGroupCommitSharesSyncs(t *testing.T) {
	log, file := openFaulty(t, t.TempDir(), Options{})
	file.syncBegan = make(chan struct{})
	file.syncMayEnd = make(chan struct{})
	const callers = 50
	var group sync.WaitGroup
	request := func() {
		_, err := log.Append([]byte("payload"))
		must.NoError(t, err)
		group.Add(1)
		log.RequestSync(func(err error) {
			must.NoError(t, err)
			group.Done()
		})
	}
	request()
	<-file.syncBegan
	for range callers {
		request()
	}
	file.syncMayEnd <- struct{}{}
	<-file.syncBegan
	file.syncMayEnd <- struct{}{}
	group.Wait()
	must.NoError(t, log.Wait()) // nothing is left to sync
	must.EqOp(t, 2, file.syncs)
	must.NoError(t, log.Close())
	must.EqOp(t, 2, file.syncs)
}

func TestFailedSyncRefusesWrites(t *testing.T) {
	log, file := openFaulty(t, t.TempDir(), Options{})
	position, err := log.Append([]byte("payload"))
	must.NoError(t, err)
	file.set(nil, unix.EIO)
	err = log.Wait()
	must.ErrorIs(t, err, ErrWriteFailed)
	must.ErrorIs(t, err, unix.EIO)
	must.StrContains(t, err.Error(), "restart the process")
	file.set(nil, nil)
	_, err = log.Append([]byte("later"))
	must.ErrorIs(t, err, ErrWriteFailed)
	must.ErrorIs(t, log.Wait(), ErrWriteFailed)
	must.ErrorIs(t, log.Rewrite(nil), ErrWriteFailed)
	_, err = log.Read(position)
	must.NoError(t, err)
	must.ErrorIs(t, log.Close(), ErrWriteFailed)
}

func TestFullDiskKeepsRecords(t *testing.T) {
	directory := t.TempDir()
	log, file := openFaulty(t, directory, Options{})
	_, err := log.Append([]byte("first"))
	must.NoError(t, err)
	must.NoError(t, log.Wait())
	before := len(contentOf(t, directory))

	file.set(unix.ENOSPC, nil)
	position, err := log.Append([]byte("second"))
	must.NoError(t, err)
	must.ErrorIs(t, log.Wait(), ErrFull)
	must.EqOp(t, before, len(contentOf(t, directory)))
	_, err = log.Append([]byte("refused"))
	must.ErrorIs(t, err, ErrFull)
	payload, err := log.Read(position)
	must.NoError(t, err)
	must.EqOp(t, "second", string(payload))

	file.set(nil, nil)
	must.NoError(t, log.Wait())
	_, err = log.Append([]byte("third"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	log, payloads, _ := openCollecting(t, directory, Options{})
	must.Eq(t, []string{"first", "second", "third"}, payloads)
	must.NoError(t, log.Close())
}

func TestRewriteFreesFullLog(t *testing.T) {
	const maxBytes = 100
	log, _, _ := openCollecting(t, t.TempDir(), Options{MaxBytes: maxBytes})
	var err error
	for err == nil {
		_, err = log.Append([]byte("0123456789"))
	}
	must.ErrorIs(t, err, ErrFull)
	must.LessEq(t, int64(maxBytes), log.Size())
	must.NoError(t, log.Rewrite(func(func([]byte) (Position, error)) error { return nil }))
	must.Zero(t, log.Size())
	_, err = log.Append([]byte("0123456789"))
	must.NoError(t, err)
	must.NoError(t, log.Close())
	must.ErrorIs(t, log.Close(), ErrClosed)
	must.ErrorIs(t, log.Wait(), ErrClosed)
}

// TestConcurrentUse appends, syncs, reads and rewrites from several goroutines.
func TestConcurrentUse(t *testing.T) {
	directory := t.TempDir()
	log, _, _ := openCollecting(t, directory, Options{})
	const writers, records = 4, 300
	var index sync.RWMutex // held for a rewrite as by a caller that owns the index
	positions := map[Position]string{}
	var group sync.WaitGroup
	for writer := range writers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(writer), 1))
			for record := range records {
				payload := fmt.Sprintf("%d/%d/%s", writer, record, make([]byte, random.IntN(6000)))
				index.Lock()
				position, err := log.Append([]byte(payload))
				must.NoError(t, err)
				positions[position] = payload
				if random.IntN(100) == 0 {
					positions = rewriteAll(t, log, positions)
				}
				index.Unlock()
				if random.IntN(10) == 0 {
					must.NoError(t, log.Wait())
				}
			}
		})
	}
	group.Go(func() {
		for range records {
			index.RLock()
			for position, payload := range positions {
				got, err := log.Read(position)
				must.NoError(t, err)
				must.True(t, payload == string(got))
				break
			}
			index.RUnlock()
		}
	})
	group.Wait()
	must.NoError(t, log.Close())
	log, payloads, corrupt := openCollecting(t, directory, Options{})
	must.SliceEmpty(t, corrupt)
	must.EqOp(t, writers*records, len(payloads))
	must.NoError(t, log.Close())
}

func rewriteAll(t *testing.T, log *Log, positions map[Position]string) map[Position]string {
	t.Helper()
	next := map[Position]string{}
	must.NoError(t, log.Rewrite(func(write func([]byte) (Position, error)) error {
		for _, payload := range positions {
			position, err := write([]byte(payload))
			must.NoError(t, err)
			next[position] = payload
		}
		return nil
	}))
	return next
}

func TestWaitingShowsADiskThatDoesNotAnswer(t *testing.T) {
	log, file := openFaulty(t, t.TempDir(), Options{})
	must.Eq(t, 0, log.OldestSyncWait())
	file.syncBegan = make(chan struct{})
	file.syncMayEnd = make(chan struct{})
	_, err := log.Append([]byte("payload"))
	must.NoError(t, err)
	first := make(chan error, 1)
	began := time.Now()
	log.RequestSync(func(err error) { first <- err })
	<-file.syncBegan
	second := make(chan error, 1)
	_, err = log.Append([]byte("behind it"))
	must.NoError(t, err)
	log.RequestSync(func(err error) { second <- err })
	must.Positive(t, log.BufferedBytes())
	for log.OldestSyncWait() < 10*time.Millisecond { // that of the sync under way, not of the later one
		must.Less(t, time.Minute, time.Since(began))
	}
	file.syncMayEnd <- struct{}{}
	must.NoError(t, <-first)
	<-file.syncBegan
	file.syncMayEnd <- struct{}{}
	must.NoError(t, <-second)
	must.NoError(t, log.Close())
	must.Eq(t, 0, log.OldestSyncWait())
	must.Eq(t, 0, log.BufferedBytes())
}

func TestFullTellsOfADiskWithoutSpaceUntilThereIsSome(t *testing.T) {
	log, file := openFaulty(t, t.TempDir(), Options{})
	file.set(syscall.ENOSPC, nil)
	_, err := log.Append([]byte("payload"))
	must.NoError(t, err)
	must.ErrorIs(t, log.Wait(), ErrFull)
	must.True(t, log.Full())
	file.set(nil, nil)
	must.NoError(t, log.Wait())
	must.False(t, log.Full())
	must.NoError(t, log.Close())
}
