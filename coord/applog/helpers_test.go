package applog

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const testName = "records"

// openCollecting opens a log and returns the payloads that were replayed and the regions reported corrupt.
func openCollecting(t *testing.T, directory string, options Options) (*Log, []string, []Position) {
	t.Helper()
	var payloads []string
	var corrupt []Position
	options.OnCorrupt = func(region Position) { corrupt = append(corrupt, region) }
	log, err := Open(directory, testName, options, func(_ Position, payload []byte) error {
		payloads = append(payloads, string(payload))
		return nil
	})
	must.NoError(t, err)
	return log, payloads, corrupt
}

// replayOf returns what a log with that content replays.
func replayOf(t *testing.T, content []byte) ([]string, []Position) {
	t.Helper()
	directory := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(directory, testName), content, fileMode))
	log, payloads, corrupt := openCollecting(t, directory, Options{})
	must.NoError(t, log.Close())
	return payloads, corrupt
}

// contentOf returns the bytes of a log's file.
func contentOf(t *testing.T, directory string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(directory, testName))
	must.NoError(t, err)
	return content
}

// appendRandom appends count records of random bytes and returns their payloads.
func appendRandom(t *testing.T, log *Log, random *rand.Rand, count, maxLength int) []string {
	t.Helper()
	var payloads []string
	for range count {
		payload := make([]byte, random.IntN(maxLength+1))
		for i := range payload {
			payload[i] = byte(random.Uint32())
		}
		_, err := log.Append(payload)
		must.NoError(t, err)
		payloads = append(payloads, string(payload))
	}
	return payloads
}

// faultyFile is a dataFile whose writes and syncs can fail or be held up.
type faultyFile struct {
	dataFile
	mutex      sync.Mutex
	writeError error // of the next writes, after half of the bytes were written
	syncError  error
	syncs      int
	syncBegan  chan struct{} // if set, receives at the start of each sync
	syncMayEnd chan struct{} // if set, each sync waits for it
}

func (f *faultyFile) set(writeError, syncError error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writeError = writeError
	f.syncError = syncError
}

func (f *faultyFile) WriteAt(content []byte, offset int64) (int, error) {
	f.mutex.Lock()
	failure := f.writeError
	f.mutex.Unlock()
	if failure == nil {
		return f.dataFile.WriteAt(content, offset)
	}
	count, _ := f.dataFile.WriteAt(content[:len(content)/2], offset)
	return count, failure
}

func (f *faultyFile) SyncData() error {
	f.mutex.Lock()
	f.syncs++
	failure := f.syncError
	f.mutex.Unlock()
	if f.syncBegan != nil {
		f.syncBegan <- struct{}{}
		<-f.syncMayEnd
	}
	return failure
}

// openFaulty opens an empty log on a faultyFile.
func openFaulty(t *testing.T, directory string, options Options) (*Log, *faultyFile) {
	t.Helper()
	file, size, err := openFile(directory, testName)
	must.NoError(t, err)
	must.Zero(t, size)
	faulty := &faultyFile{dataFile: file}
	return start(faulty, 0, directory, testName, options), faulty
}

// writeContent replaces the file of a closed log.
func writeContent(directory string, content []byte) error {
	return os.WriteFile(filepath.Join(directory, testName), content, fileMode)
}
